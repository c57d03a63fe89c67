/**
 * Orders of earlier owners for VMs. Until an order has arrived for the holder gap, or can no longer have, its VM is left alone. One for
 * maintenance takes a place in the waves of its VM as well, until the inventory tells whether it was carried out.
 */
import { type InventoryVm, VmPhase } from "./ports.js";

/** Added to the duration of a move or maintenance, or to the latest arrival of an order, before the inventory is trusted for the VM. */
export const inventoryLagMs = 300;

/** An order as an earlier owner has stored it. Times are monotonic, in milliseconds. */
export interface InheritedOrder {
    readonly vm: string;
    /** Whether it is, or may be, an order for maintenance. */
    readonly isMaintenance: boolean;
    /** Latest time at which it can arrive at the platform. */
    readonly arrivesBy: number;
    /** Time from which its VM may be ordered. */
    readonly barredUntil: number;
}

/** An order for maintenance of which the inventory has told whether it was carried out. */
export interface SettledOrder extends InheritedOrder {
    /** What the inventory shows of the VM; undefined if it does not list it. */
    readonly phase: VmPhase | undefined;
}

/** Orders that a tenure has inherited. */
export class InheritedOrders {
    private readonly byVm = new Map<string, InheritedOrder>();
    /** Orders that may be or have been carried out, as far as the inventory has told. */
    private readonly unsettled = new Map<string, InheritedOrder>();
    /** VMs that the inventory has shown in maintenance by an inherited order. */
    private readonly carriedOut = new Set<string>();
    /** Bounds of orders for VMs that are not known: infinite until the stored ones are read. */
    private others = { arriveBy: Infinity, barredUntil: Infinity };
    private areOthersSettled = false;

    private constructor() {}

    static create(): InheritedOrders {
        return new InheritedOrders();
    }

    /** Adds the orders of a stored row, which names all VMs that matter. */
    add(orders: readonly InheritedOrder[]): void {
        this.others = { arriveBy: -Infinity, barredUntil: -Infinity };
        this.areOthersSettled = true;
        for (const order of orders) {
            this.byVm.set(order.vm, order);
            if (order.isMaintenance) {
                this.unsettled.set(order.vm, order);
            }
        }
    }

    /** Adds orders for VMs that are not known, since the stored row cannot be read. */
    addUnknown(bounds: { readonly arriveBy: number; readonly barredUntil: number }): void {
        this.others = bounds;
        this.areOthersSettled = false;
    }

    /** Whether the VMs that may not be ordered at the monotonic time `now` are known. */
    areKnown(now: number): boolean {
        return now >= this.others.barredUntil;
    }

    /** Whether a VM may be ordered at the monotonic time `now`. */
    isOrderable(vm: string, now: number): boolean {
        return now >= (this.byVm.get(vm)?.barredUntil ?? this.others.barredUntil)
            && !this.mayBeInMaintenance(vm);
    }

    /** Whether an order may have brought a VM into maintenance, or still bring it there, unseen by the inventory. */
    mayBeInMaintenance(vm: string): boolean {
        return !this.areOthersSettled || this.unsettled.has(vm);
    }

    /** Whether an order was seen to be carried out, so that the platform only confirms another one for the same wave. */
    wasCarriedOut(vm: string): boolean {
        return this.carriedOut.has(vm);
    }

    /** Whether the inventory has not told of some order yet. */
    get hasUnsettled(): boolean {
        return !this.areOthersSettled || this.unsettled.size > 0;
    }

    /** Orders whose VMs are not to be ordered at the monotonic time `now`. */
    barredAt(now: number): readonly InheritedOrder[] {
        return [...this.byVm.values()].filter(({ barredUntil }) => barredUntil > now);
    }

    /**
     * Settles the orders that an inventory tells of, and returns those for known VMs. It tells that an order was carried out by
     * showing the VM in maintenance. That it was not, or that the VM is back, it tells only if it was requested, at the
     * monotonic time `readAt`, once the order could no longer arrive.
     */
    settle(inventory: readonly InventoryVm[], readAt: number): readonly SettledOrder[] {
        this.areOthersSettled ||= readAt >= this.others.arriveBy + inventoryLagMs;
        if (this.unsettled.size === 0) {
            return [];
        }
        const phases = new Map(inventory.map(({ vm, phase }) => [vm, phase]));
        const settled = [...this.unsettled.values()]
            .map(order => ({ ...order, phase: phases.get(order.vm) }))
            .filter(({ phase, arrivesBy }) =>
                phase === VmPhase.InMaintenance || readAt >= arrivesBy + inventoryLagMs
            );
        settled.forEach(({ vm, phase }) => {
            this.unsettled.delete(vm);
            if (phase === VmPhase.InMaintenance) {
                this.carriedOut.add(vm);
            }
        });
        return settled;
    }
}
