/** Queries on the fleet view about jobs: VMs a job can run on, state of its worker, and holders that may be gone. */
import type { FleetView } from "../process/fleet.js";
import { hasEnded, incarnationOf, type MemberView } from "../process/members.js";
import type { Vm } from "../process/platform.js";
import { effectivePoolOf, isEvacuated } from "../process/workers.js";
import type { RunContext } from "./job-run.js";
import type { Job } from "./job.js";

/** Earlier generations of a VM's entry that are still searched for abandoned jobs. */
const maxOlderGenerations = 3;

/** Whether a VM has the resources that a job declares. */
export function fits({ size }: Pick<Job, "size">, vm: Vm): boolean {
    return vm.cores >= size.cores && vm.memoryGb >= size.memoryGb && vm.accelerators >= size.accelerators;
}

/**
 * VMs of its pool that a job must not run on: those too small, and those in racks where it failed. If no VM remains,
 * only the VMs where it failed are excluded, and if none remains then, only those too small. Only VMs outside evacuated
 * zones count as remaining, unless none of these is large enough. Empty if no VM of the pool is large enough.
 */
export function excludedVms(job: Job, view: FleetView): readonly string[] {
    const pool = view.vms.filter(vm => effectivePoolOf(view, vm) === job.pool);
    const failedOn = job.failures.map(failure => failure.worker);
    const failedRacks = job.failures.map(failure => failure.rack);
    const tiers = [
        (vm: Vm) => fits(job, vm) && !failedRacks.includes(vm.rack),
        (vm: Vm) => fits(job, vm) && !failedOn.includes(vm.id),
        (vm: Vm) => fits(job, vm),
    ];
    const serving = pool.filter(vm => !isEvacuated(view, vm));
    const isSuitable = tiers.find(each => serving.some(each)) ?? tiers.find(each => pool.some(each));
    return pool.filter(vm => isSuitable?.(vm) === false).map(vm => vm.id);
}

/** The part of a run's context that the fleet view gives: state of the job's worker and racks of its pool. */
export function workerContextOf(
    job: Job,
    view: FleetView,
): Omit<RunContext, "isCancelRequested" | "isDraining"> {
    const vm = view.vms.find(other => other.id === job.worker);
    const pool = view.vms.filter(other => effectivePoolOf(view, other) === job.pool);
    const permit = view.poolRows.get(job.pool)?.permits[job.worker ?? ""];
    return {
        isWorkerLost: vm === undefined || vm.bootId !== job.workerBoot,
        shouldMigrate: permit !== undefined || vm?.draining === true,
        rackOfWorker: vm?.rack ?? "",
        racksInPool: new Set(pool.map(other => other.rack)).size,
    };
}

/** Input of `abandonedHolders`. */
export interface AbandonedHoldersInput {
    readonly members: MemberView;
    /** Incarnation of this entry. */
    readonly self: string;
    /** Whether no message from the entry on a VM has arrived within the holder time-out. */
    readonly isUnresponsive: (vm: string) => boolean;
}

/**
 * Incarnations whose jobs may lack a supervisor: ended ones, unresponsive ones, and this one, since it may hold jobs
 * by claims whose responses from the store were lost.
 */
export function abandonedHolders(
    { members, self, isUnresponsive: isSilent }: AbandonedHoldersInput,
): readonly string[] {
    const ended = [...members.generations].flatMap(([vm, generation]) => {
        const count = Math.min(maxOlderGenerations, generation - 1);
        const older = Array.from({ length: count }, (_, back) => incarnationOf(vm, generation - 1 - back));
        const current = incarnationOf(vm, generation);
        return hasEnded(members, current) ? [current, ...older] : older;
    });
    const unresponsive = members.live
        .filter(member => member.incarnation !== self && isSilent(member.vm))
        .map(member => member.incarnation);
    return [...new Set([...ended, ...unresponsive, self])];
}
