/** Amounts of CPU, memory and accelerators. */

/** Resources that a task needs, that a worker has, or that a client account may use. */
export interface Resources {
    /** Thousandths of a CPU core. */
    readonly cpu: number;
    /** Megabytes. */
    readonly memory: number;
    /** Number of accelerators. */
    readonly accelerators: number;
}

/** Zero of every resource. */
export const noResources: Resources = { cpu: 0, memory: 0, accelerators: 0 };

/** Sum of `a` and `times` times `b`. */
export function addResources(a: Resources, b: Resources, times = 1): Resources {
    return {
        cpu: a.cpu + b.cpu * times,
        memory: a.memory + b.memory * times,
        accelerators: a.accelerators + b.accelerators * times,
    };
}

/** Whether `needed` does not exceed `free` in any resource. */
export function fitsInto(needed: Resources, free: Resources): boolean {
    return needed.cpu <= free.cpu && needed.memory <= free.memory && needed.accelerators <= free.accelerators;
}

/** Whether `used` does not exceed `limit`. A field of the limit that is 0 means that this resource is unlimited. */
export function isWithinLimit(used: Resources, limit: Resources): boolean {
    return (limit.cpu === 0 || used.cpu <= limit.cpu) && (limit.memory === 0 || used.memory <= limit.memory)
        && (limit.accelerators === 0 || used.accelerators <= limit.accelerators);
}

/** Largest amount of each resource among `amounts`; 0 if there is none above it. */
export function componentwiseMax(amounts: readonly Resources[]): Resources {
    return {
        cpu: Math.max(0, ...amounts.map(({ cpu }) => cpu)),
        memory: Math.max(0, ...amounts.map(({ memory }) => memory)),
        accelerators: Math.max(0, ...amounts.map(({ accelerators }) => accelerators)),
    };
}

/** How many times `needed` fits into `free`; infinite if nothing is needed. */
export function timesFitting(needed: Resources, free: Resources): number {
    const times = (need: number, available: number): number =>
        need === 0 ? Infinity : Math.max(0, Math.floor(available / need));
    return Math.min(
        times(needed.cpu, free.cpu),
        times(needed.memory, free.memory),
        times(needed.accelerators, free.accelerators),
    );
}
