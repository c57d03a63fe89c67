/**
 * Counts the VMs that a set of tasks needs, by first-fit decreasing bin packing in all dimensions. Pure.
 *
 * Load pattern: tasks of a fifth of a VM's CPU leave a fifth of it unused, and services with much memory leave CPU unused;
 * a sum of resources shows neither.
 */
import { addResources, fitsInto, type Resources } from "../../process/resources.js";

/** Tasks with the same needs. */
export interface TaskGroup {
    readonly needs: Resources;
    /** Step that limits the tasks on one VM; undefined if there is no limit. */
    readonly limit?: { readonly step: string; readonly perWorker: number };
    /** Number of tasks; an expected number may have a fraction. */
    readonly tasks: number;
}

/** A VM that holds tasks which are not moved. */
export interface FilledVm {
    readonly free: Resources;
    /** Tasks on it by step, of steps with a limit. */
    readonly tasksByStep: ReadonlyMap<string, number>;
}

/** Collects tasks by their needs. Tasks with a limit per worker stay apart, since the limit holds for their step alone. */
export class TaskGroups {
    private readonly groups = new Map<string, TaskGroup>();

    static create(): TaskGroups {
        return new TaskGroups();
    }

    /** All groups. */
    get all(): readonly TaskGroup[] {
        return [...this.groups.values()];
    }

    /** Adds tasks. */
    add(group: TaskGroup): void {
        const { cpu, memory, accelerators } = group.needs;
        const key = group.limit?.step ?? `${cpu}/${memory}/${accelerators}`;
        this.groups.set(key, { ...group, tasks: group.tasks + (this.groups.get(key)?.tasks ?? 0) });
    }
}

/** Share of the scarcest resource of a VM that an amount takes. */
export function dominantShare(amount: Resources, capacity: Resources): number {
    return Math.max(
        amount.cpu / Math.max(1, capacity.cpu),
        amount.memory / Math.max(1, capacity.memory),
        amount.accelerators / Math.max(1, capacity.accelerators),
    );
}

/**
 * Number of VMs of one capacity that hold the tasks at the same time, the filled ones included. Tasks larger than a VM, and
 * those that need nothing, are left out.
 */
export function packedVmCount(
    groups: readonly TaskGroup[],
    capacity: Resources,
    filled: readonly FilledVm[] = [],
): number {
    const free = filled.map(vm => vm.free);
    const sorted = groups
        .map(group => ({ ...group, share: dominantShare(group.needs, capacity) }))
        .filter(({ needs, share }) => share > 0 && fitsInto(needs, capacity))
        .sort((a, b) => b.share - a.share);
    for (const { needs, limit, tasks } of sorted) {
        let left = Math.ceil(tasks);
        for (let i = 0; left > 0; i++) {
            const room = free[i] ?? capacity;
            const onStep = limit === undefined ? 0 : filled[i]?.tasksByStep.get(limit.step) ?? 0;
            const most = limit === undefined ? Infinity : limit.perWorker - onStep;
            const placed = Math.min(left, Math.max(0, most), timesIn(needs, room));
            if (placed > 0) {
                free[i] = addResources(room, needs, -placed);
                left -= placed;
            }
        }
    }
    return free.length;
}

/** How often `needs` fit into `room`. */
export function timesIn(needs: Resources, room: Resources): number {
    const times = (need: number, amount: number): number =>
        need > 0 ? Math.max(0, Math.floor(amount / need)) : Infinity;
    return Math.min(
        times(needs.cpu, room.cpu),
        times(needs.memory, room.memory),
        times(needs.accelerators, room.accelerators),
    );
}
