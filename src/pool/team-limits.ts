/**
 * What the limits of client accounts let start. A limit may be lowered at any time, also below what a single accepted task needs,
 * and be raised again: it defers work and never ends it.
 */
import { addResources, isWithinLimit, type Resources } from "../process/resources.js";

/** What an account uses, and what it asks to start. */
export interface StartRequest {
    /** Resources of its running and claimed runs. */
    readonly usage: Resources;
    /** Those of them that its services use, which do not end by themselves. */
    readonly serviceUsage: Resources;
    /** Resources of each task. */
    readonly needs: Resources;
    /** Number of tasks that start together: more than one for a gang. */
    readonly tasks: number;
}

/**
 * Whether tasks may start under a limit. Those that will never fit beside the account's services, since they exceed the limit
 * or what these leave of it, may exceed it by one task while the account uses less than half of its limit. Otherwise they
 * would wait for as long as the limit stays.
 */
export function isWithinTeamLimit(
    { usage, serviceUsage, needs, tasks }: StartRequest,
    limit: Resources,
): boolean {
    if (isWithinLimit(addResources(usage, needs, tasks), limit)) {
        return true;
    }
    return !isWithinLimit(addResources(serviceUsage, needs, tasks), limit)
        && isBelowHalf(usage, limit)
        && isWithinLimit(addResources(usage, needs, tasks - 1), limit);
}

/** Whether no limited resource is used to half of its limit. */
function isBelowHalf(usage: Resources, limit: Resources): boolean {
    const isBelow = (used: number, most: number): boolean => most === 0 || 2 * used < most;
    return isBelow(usage.cpu, limit.cpu) && isBelow(usage.memory, limit.memory)
        && isBelow(usage.accelerators, limit.accelerators);
}
