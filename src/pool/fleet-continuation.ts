/** Lets the plan of VMs of a new owner continue that of the previous one. */
import type { Timer } from "../process/timer.js";
import type { DemandMeter } from "./demand.js";
import type { FleetHandover, FleetState } from "./fleet-handover.js";
import type { TenureClock } from "./tenure-clock.js";
import type { VmOrderDispatcher } from "./vm-order-dispatcher.js";

/** Options of `FleetContinuation.create`. */
export interface FleetContinuationOptions {
    /** Absent unless the setting `demandHandover` is on; nothing is continued or handed over then. */
    readonly handover: FleetHandover | undefined;
    readonly demand: DemandMeter;
    readonly orders: Pick<VmOrderDispatcher, "ordersInProgress" | "assumeOrders">;
    readonly cordonedVms: Set<string>;
    readonly timer: Timer;
    readonly clock: TenureClock;
}

/** Restores the state of the previous owner's plan, and provides this owner's state to the next one. */
export class FleetContinuation {
    private isRestored = false;

    private constructor(private readonly options: FleetContinuationOptions) {
        options.handover?.setSource(() => this.state());
    }

    static create(options: FleetContinuationOptions): FleetContinuation {
        return new FleetContinuation(options);
    }

    /** Restores the state of the previous owner, once it has been read; further calls change nothing. */
    restore(): void {
        const { handover, demand, orders, cordonedVms, timer, clock } = this.options;
        const inherited = handover?.inherited;
        if (inherited !== undefined && !this.isRestored) {
            this.isRestored = true;
            demand.restore(inherited.samples, { now: timer.now(), wallMs: clock.wallMs() });
            orders.assumeOrders(inherited.orders);
            inherited.cordoned.forEach(vm => cordonedVms.add(vm));
        }
    }

    /** Whether pools keep the VMs that they do not demand, since their demand was observed for too short a time. */
    keepsSurplus(): boolean {
        const { handover, demand, timer } = this.options;
        return handover !== undefined && !demand.hasWholeWindow(timer.now());
    }

    private state(): FleetState | undefined {
        const { demand, orders, cordonedVms, timer } = this.options;
        const samples = demand.recentSamples(timer.now());
        return samples === undefined
            ? undefined
            : { samples, orders: orders.ordersInProgress(), cordoned: [...cordonedVms] };
    }
}
