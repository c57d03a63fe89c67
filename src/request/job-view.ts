/** What the fleet view says about a job: where it may run, what became of its worker, and who may have abandoned it. */
import type { FleetView } from "../process/fleet.js";
import { incarnationOf, isGone, type MemberView } from "../process/members.js";
import type { Vm } from "../process/platform.js";
import { poolOf } from "../process/workers.js";
import type { RunContext } from "./job-run.js";
import type { Job } from "./job.js";

const maxOlderGenerations = 3;

/** Whether a VM is large enough for a job. */
export function fits({ size }: Pick<Job, "size">, vm: Vm): boolean {
    return vm.cores >= size.cores && vm.memoryGb >= size.memoryGb && vm.accelerators >= size.accelerators;
}

/** VMs not to use for a job: those too small, and those in racks where it failed, as far as others remain. */
export function excludedVms(job: Job, view: FleetView): readonly string[] {
    const pool = view.vms.filter(vm => poolOf(view, vm) === job.pool);
    const failedOn = job.failures.map(failure => failure.worker);
    const failedRacks = job.failures.map(failure => failure.rack);
    const isGood = [
        (vm: Vm) => fits(job, vm) && !failedRacks.includes(vm.rack),
        (vm: Vm) => fits(job, vm) && !failedOn.includes(vm.id),
        (vm: Vm) => fits(job, vm),
    ].find(each => pool.some(each));
    return pool.filter(vm => isGood?.(vm) === false).map(vm => vm.id);
}

/** What the view says about a running job's worker. */
export function workerContextOf(
    job: Job,
    view: FleetView,
): Omit<RunContext, "isCancelRequested" | "isDraining"> {
    const vm = view.vms.find(other => other.id === job.worker);
    const pool = view.vms.filter(other => poolOf(view, other) === job.pool);
    const permit = view.poolRows.get(job.pool)?.permits[job.worker ?? ""];
    return {
        isWorkerLost: vm === undefined || vm.bootId !== job.workerBoot,
        shouldMigrate: permit !== undefined || vm?.draining === true,
        rackOfWorker: vm?.rack ?? "",
        racksInPool: new Set(pool.map(other => other.rack)).size,
    };
}

/** Inputs of `abandonedHolders`. */
export interface AbandonedHoldersInput {
    readonly members: MemberView;
    /** This entry's incarnation. */
    readonly self: string;
    /** Whether the entry on a VM has not been heard for a while. */
    readonly isUnresponsive: (vm: string) => boolean;
}

/** Incarnations whose jobs may lack a holder: ended ones, silent ones, and this one for claims with lost answers. */
export function abandonedHolders(
    { members, self, isUnresponsive: isSilent }: AbandonedHoldersInput,
): readonly string[] {
    const ended = [...members.generations].flatMap(([vm, generation]) => {
        const count = Math.min(maxOlderGenerations, generation - 1);
        const older = Array.from({ length: count }, (_, back) => incarnationOf(vm, generation - 1 - back));
        const current = incarnationOf(vm, generation);
        return isGone(members, current) ? [current, ...older] : older;
    });
    const silent = members.live
        .filter(member => member.incarnation !== self && isSilent(member.vm))
        .map(member => member.incarnation);
    return [...new Set([...ended, ...silent, self])];
}
