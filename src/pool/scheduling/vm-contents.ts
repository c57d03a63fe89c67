/** What a VM holds, as far as the packing of VMs needs it. */
import type { Resources } from "../../process/resources.js";
import type { DurationEstimator } from "../duration-estimator.js";
import { freeResources, reservedResources, type WorkerState } from "../worker-registry.js";
import { emptyInMs } from "./run-ends.js";

/** A run of a service on a VM. */
export interface ServiceRun {
    /** Job and step, which a limit of tasks per worker holds for. */
    readonly step: string;
    readonly needs: Resources;
    readonly perWorker: number;
    readonly label: string | undefined;
}

/** What a VM holds. */
export interface VmContents {
    readonly free: Resources;
    /** Expected time until its runs have ended, in milliseconds; infinite if it runs services. */
    readonly emptyInMs: number;
    /** Time for which it has been cordoned without a run, in milliseconds. */
    readonly idleMs: number;
    readonly services: readonly ServiceRun[];
}

/** Tracks how long VMs have been cordoned without a run. */
export class VmContentsTracker {
    private readonly idleSince = new Map<string, number>();

    static create(): VmContentsTracker {
        return new VmContentsTracker();
    }

    /** What a VM's worker holds at the monotonic time `now`. */
    contentsOf(
        { vm, worker, isCordoned }: {
            readonly vm: string;
            readonly worker: WorkerState;
            readonly isCordoned: boolean;
        },
        durations: DurationEstimator,
        now: number,
    ): VmContents {
        if (!isCordoned || worker.runs.size > 0) {
            this.idleSince.delete(vm);
        }
        else if (!this.idleSince.has(vm)) {
            this.idleSince.set(vm, now);
        }
        const services: ServiceRun[] = [];
        for (const { step, entry, position } of worker.runs.values()) {
            if (step.isService) {
                services.push({
                    step: stepKey(entry.job.id, entry.state.tasks.at(position).step),
                    needs: reservedResources({ step }),
                    perWorker: step.perWorker,
                    label: step.label,
                });
            }
        }
        return {
            free: freeResources(worker),
            emptyInMs: emptyInMs(worker.runs.values(), durations, now),
            idleMs: now - (this.idleSince.get(vm) ?? now),
            services,
        };
    }
}

/** Identifies a step of a job. */
export function stepKey(job: string, step: number): string {
    return `${job}/${step}`;
}
