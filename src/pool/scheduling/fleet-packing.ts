/** Adds to the plan of VMs what packing needs: the demand of pools in VMs, and what each VM holds (`vmPacking`). */
import { noResources } from "../../process/resources.js";
import type { Timer } from "../../process/timer.js";
import type { DemandInput } from "../demand.js";
import type { DurationEstimator } from "../duration-estimator.js";
import type { PoolDemand, VmSnapshot } from "../fleet-view.js";
import type { WorkerRegistry, WorkerState } from "../worker-registry.js";
import { VmContentsTracker } from "./vm-contents.js";
import { VmDemandMeter } from "./vm-demand.js";

/** Measures what the plan of VMs needs to pack them. */
export class FleetPacking {
    private readonly demand = VmDemandMeter.create();
    private readonly contents = VmContentsTracker.create();

    private constructor(
        private readonly durations: DurationEstimator,
        private readonly timer: Pick<Timer, "now">,
    ) {}

    static create(
        { durations }: { readonly durations: DurationEstimator },
        timer: Pick<Timer, "now">,
    ): FleetPacking {
        return new FleetPacking(durations, timer);
    }

    /** Measures the demand of the pools; returns the field of a pool's demand. */
    measure(
        input: DemandInput,
        vms: readonly VmSnapshot[],
        { byId }: Pick<WorkerRegistry, "byId">,
    ): (pool: string) => Pick<PoolDemand, "vms"> {
        const capacities = new Map(vms.map(({ pool, capacity }) => [pool, capacity]));
        const anyCapacity = vms[0]?.capacity ?? noResources;
        this.demand.measure({
            ...input,
            capacityOf: pool => capacities.get(pool) ?? anyCapacity,
            isLeaving: worker => byId.get(worker)?.isCordoned === true,
        });
        return pool => {
            const demand = this.demand.demandOf(pool);
            return demand === undefined ? {} : { vms: demand };
        };
    }

    /** The field of a VM's snapshot; none if its worker is not listed. */
    contentsOf(
        vm: string,
        worker: WorkerState | undefined,
        isCordoned: boolean,
    ): Pick<VmSnapshot, "contents"> {
        return worker?.isListed === true
            ? {
                contents: this.contents.contentsOf(
                    { vm, worker, isCordoned },
                    this.durations,
                    this.timer.now(),
                ),
            }
            : {};
    }
}
