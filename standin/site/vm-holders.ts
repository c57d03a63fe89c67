/**
 * Checks the platform's rules on who orders a VM, for each order as it arrives: no two processes order one VM within the
 * lease time, no two use one fencing token, and no lower token follows a higher one on a VM. A process that has been killed,
 * restarted, or is stopping is not excused.
 */
import type { Timer } from "../../src/process/timer.js";

/** An order for a VM as it arrives at the platform. */
export interface ArrivedOrder {
    readonly vm: string;
    /** Timer of the process that sent it, which identifies the process. */
    readonly sender: Timer;
    readonly fence: number;
    /** Arrival, in milliseconds. */
    readonly at: number;
}

/** Least time between orders of two processes for one VM; equals the default of the setting `holderGapMs`. */
const leaseMs = 3000;

/** Checks orders for VMs in the order of their arrival. */
export class VmHolderChecker {
    private readonly lastByVm = new Map<string, ArrivedOrder>();
    private readonly highestFenceByVm = new Map<string, number>();
    private readonly senderByFence = new Map<number, Timer>();
    /** Orders that have arrived, including those that the platform did not carry out. */
    readonly orders: ArrivedOrder[] = [];

    constructor(private readonly reportViolation: (violation: string) => void) {}

    record(order: ArrivedOrder): void {
        const { vm, sender, fence, at } = order;
        this.orders.push(order);
        const last = this.lastByVm.get(vm);
        if (last !== undefined && last.sender !== sender && at < last.at + leaseMs) {
            this.reportViolation(
                `${vm} received orders of two processes within ${Math.round(at - last.at)} ms`,
            );
        }
        const highest = this.highestFenceByVm.get(vm) ?? fence;
        if (fence < highest) {
            this.reportViolation(
                `${vm} received an order with fence ${fence} after one with fence ${highest}`,
            );
        }
        const holder = this.senderByFence.get(fence) ?? sender;
        if (holder !== sender) {
            this.reportViolation(`${vm} received an order of a second process with fence ${fence}`);
        }
        this.lastByVm.set(vm, order);
        this.highestFenceByVm.set(vm, Math.max(fence, highest));
        this.senderByFence.set(fence, holder);
    }
}
