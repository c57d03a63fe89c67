/** Amounts of processor, memory and accelerators. */

/** Resources of a task, of a worker, or of a client account's limit. */
export interface Resources {
    /** Thousandths of a core. */
    readonly cpu: number;
    /** Megabytes. */
    readonly memory: number;
    /** Whole accelerators. */
    readonly accelerators: number;
}

/** Nothing at all. */
export const noResources: Resources = { cpu: 0, memory: 0, accelerators: 0 };

/** Sum of two amounts, the second taken `times` times. */
export function addResources(a: Resources, b: Resources, times = 1): Resources {
    return {
        cpu: a.cpu + b.cpu * times,
        memory: a.memory + b.memory * times,
        accelerators: a.accelerators + b.accelerators * times,
    };
}

/** Whether `needed` fits into `free` in every dimension. */
export function fitsInto(needed: Resources, free: Resources): boolean {
    return needed.cpu <= free.cpu && needed.memory <= free.memory && needed.accelerators <= free.accelerators;
}

/** Whether `used` keeps a limit whose zero fields mean that there is none. */
export function isWithinLimit(used: Resources, limit: Resources): boolean {
    return (limit.cpu === 0 || used.cpu <= limit.cpu) && (limit.memory === 0 || used.memory <= limit.memory)
        && (limit.accelerators === 0 || used.accelerators <= limit.accelerators);
}
