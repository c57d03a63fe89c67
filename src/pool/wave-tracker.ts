/** Waves of VM service: which VMs are done, which are out, and how pressing the rest is. */
import { z } from "zod";
import { parseJson } from "../process/json.js";
import type { RowKey, RowPut, StoredRow } from "../process/rows.js";
import type { WaveOrder } from "../version/operator-feed.js";

/** Table of the progress of waves. */
export const waveTable = "waves";

interface WaveState {
    readonly order: WaveOrder;
    /** Monotonic time at which it was first seen. */
    readonly firstSeenAt: number;
    readonly done: Set<string>;
    /** VMs that cannot be serviced: gone, or not of the wave by the platform's word. */
    readonly excluded: Set<string>;
    /** Orders under way: the monotonic time at which each was sent. */
    readonly inProgress: Map<string, number>;
    isReported: boolean;
}

const waveRowSchema = z.object({ done: z.array(z.string()) });

/** Share of the time left that the remaining rounds of service may need before VMs are emptied as fast as allowed. */
const urgentTimeShare = 0.5;
/** Share of a wave's time in which only idle VMs are serviced; later, VMs in use are emptied a few at a time. */
const idleOnlyTimeShare = 0.1;
const maxDrainingBeforeUrgent = 2;
/** Time that emptying a VM and its orders add to a round, in milliseconds. */
const roundOverheadMs = 2500;

/** The open waves of a tenure. */
export class WaveTracker {
    private readonly waves = new Map<number, WaveState>();

    private constructor(private readonly domain: string, private readonly maintenanceMs: number) {}

    static create(domain: string, serviceMs: number): WaveTracker {
        return new WaveTracker(domain, serviceMs);
    }

    /** Takes notice of the waves that operators asked for; returns those that are new. */
    addOrders(orders: Iterable<WaveOrder>, now: number): readonly WaveOrder[] {
        const fresh: WaveOrder[] = [];
        for (const order of orders) {
            if (!this.waves.has(order.wave)) {
                fresh.push(order);
                this.waves.set(order.wave, {
                    order,
                    firstSeenAt: now,
                    done: new Set(),
                    excluded: new Set(),
                    inProgress: new Map(),
                    isReported: false,
                });
            }
        }
        return fresh;
    }

    /** Takes over what an earlier owner has stored. */
    restore(rows: readonly StoredRow[]): void {
        for (const row of rows) {
            const state = this.waves.get(Number(row.key));
            // A malformed row counts as no progress; the platform knows what was done already.
            const parsed = waveRowSchema.safeParse(parseJson(row.value));
            if (state !== undefined && parsed.success) {
                parsed.data.done.forEach(vm => state.done.add(vm));
            }
        }
    }

    /** Row that holds the progress of a wave. */
    progressRow(wave: number): RowPut {
        const done = [...this.waves.get(wave)?.done ?? []];
        return { ...this.key(wave), value: JSON.stringify({ done }) };
    }

    /** Wave for which a VM is still due; undefined without. */
    dueWave(vm: string): number | undefined {
        for (const [wave, state] of this.waves) {
            const isSettled = state.done.has(vm) || state.excluded.has(vm) || state.inProgress.has(vm);
            if (!isSettled && state.order.vms.includes(vm)) {
                return wave;
            }
        }
        return undefined;
    }

    /**
     * Waves that still have VMs due, with what may be taken out now. VMs that the inventory shows in service count as
     * out as well: an earlier owner may have ordered them.
     */
    openWaves(now: number, inService: ReadonlySet<string>) {
        return [...this.waves].flatMap(([wave, state]) => {
            const left = state.order.vms.filter(vm =>
                !state.done.has(vm) && !state.excluded.has(vm) && !state.inProgress.has(vm)
            ).length;
            const cap = Math.max(1, state.order.cap);
            const out = state.order.vms.filter(vm =>
                state.inProgress.has(vm) || inService.has(vm)
            ).length;
            const timeLeftMs = state.firstSeenAt + state.order.durationMs - now;
            const neededMs = Math.ceil(left / cap) * (this.maintenanceMs + roundOverheadMs);
            const isUrgent = neededMs > timeLeftMs * urgentTimeShare;
            const isDue = now - state.firstSeenAt > state.order.durationMs * idleOnlyTimeShare;
            const emptyAtOnce = isUrgent ? cap : isDue ? Math.min(cap, maxDrainingBeforeUrgent) : 0;
            return left === 0
                ? []
                : [{ wave, availableSlots: Math.max(0, cap - out), isUrgent, maxDraining: emptyAtOnce }];
        });
    }

    /** Notes that a VM is being taken out. */
    recordStart(wave: number, vm: string, now: number): void {
        this.waves.get(wave)?.inProgress.set(vm, now);
    }

    /** Notes that the platform has taken an order. */
    recordAccepted(wave: number, vm: string): void {
        this.waves.get(wave)?.done.add(vm);
    }

    /** Notes that an order was not carried out. */
    recordFailure(wave: number, vm: string): void {
        this.waves.get(wave)?.inProgress.delete(vm);
    }

    /** Notes that a VM cannot be serviced in a wave. */
    exclude(wave: number, vm: string): void {
        this.waves.get(wave)?.excluded.add(vm);
        this.waves.get(wave)?.inProgress.delete(vm);
    }

    /** VMs that are out, with the time of their orders. */
    inProgress(): readonly { readonly wave: number; readonly vm: string; readonly since: number }[] {
        return [...this.waves].flatMap(([wave, { inProgress: out }]) =>
            [...out].map(([vm, since]) => ({ wave, vm, since }))
        );
    }

    /** Notes that a VM is up again, or gone. */
    recordReturn(wave: number, vm: string): void {
        this.waves.get(wave)?.inProgress.delete(vm);
    }

    /** Waves that are finished and not yet reported so. */
    unreportedFinished(): readonly number[] {
        return [...this.waves]
            .filter(([, { order, done, excluded, isReported }]) =>
                !isReported && order.vms.every(vm => done.has(vm) || excluded.has(vm))
            )
            .map(([wave]) => wave);
    }

    /** Notes that operators were told. */
    markReported(wave: number): void {
        const state = this.waves.get(wave);
        if (state !== undefined) {
            state.isReported = true;
        }
    }

    private key(wave: number): RowKey {
        return { table: waveTable, part: this.domain, key: String(wave) };
    }
}
