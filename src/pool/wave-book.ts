/** Waves of VM service: which VMs are done, which are out, and how pressing the rest is. */
import { z } from "zod";
import { parseJson } from "../process/json.js";
import type { RowKey, RowPut, StoredRow } from "../process/rows.js";
import type { MaintenanceWave } from "../version/operator-feed.js";

/** Table of the progress of waves. */
export const waveTable = "waves";

interface WaveState {
    readonly order: MaintenanceWave;
    /** Monotonic time at which it was first seen. */
    readonly seenAt: number;
    readonly done: Set<string>;
    /** VMs that cannot be serviced: gone, or not of the wave by the platform's word. */
    readonly excluded: Set<string>;
    /** Orders under way: the monotonic time at which each was sent. */
    readonly out: Map<string, number>;
    isReported: boolean;
}

const waveRow = z.object({ done: z.array(z.string()) });

/** Share of the time left that the remaining rounds of service may need before VMs are emptied as fast as allowed. */
const urgentShare = 0.5;
/** Share of a wave's time in which only idle VMs are serviced; later, VMs in use are emptied a few at a time. */
const patientShare = 0.1;
const emptiedPatiently = 2;
/** Time that emptying a VM and its orders add to a round, in milliseconds. */
const roundOverheadMs = 2500;

/** The open waves of a tenure. */
export class WaveBook {
    private readonly waves = new Map<number, WaveState>();

    private constructor(private readonly domain: string, private readonly serviceMs: number) {}

    static create(domain: string, serviceMs: number): WaveBook {
        return new WaveBook(domain, serviceMs);
    }

    /** Takes notice of the waves that operators asked for; returns those that are new. */
    see(orders: Iterable<MaintenanceWave>, now: number): readonly MaintenanceWave[] {
        const fresh: MaintenanceWave[] = [];
        for (const order of orders) {
            if (!this.waves.has(order.wave)) {
                fresh.push(order);
                this.waves.set(order.wave, {
                    order,
                    seenAt: now,
                    done: new Set(),
                    excluded: new Set(),
                    out: new Map(),
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
            const parsed = waveRow.safeParse(parseJson(row.value));
            if (state !== undefined && parsed.success) {
                parsed.data.done.forEach(vm => state.done.add(vm));
            }
        }
    }

    /** Row that holds the progress of a wave. */
    row(wave: number): RowPut {
        const done = [...this.waves.get(wave)?.done ?? []];
        return { ...this.key(wave), value: JSON.stringify({ done }) };
    }

    /** Wave for which a VM is still due; undefined without. */
    dueWave(vm: string): number | undefined {
        for (const [wave, state] of this.waves) {
            const isSettled = state.done.has(vm) || state.excluded.has(vm) || state.out.has(vm);
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
    open(now: number, inService: ReadonlySet<string>) {
        return [...this.waves].flatMap(([wave, state]) => {
            const left = state.order.vms.filter(vm =>
                !state.done.has(vm) && !state.excluded.has(vm) && !state.out.has(vm)
            ).length;
            const cap = Math.max(1, state.order.cap);
            const out = state.order.vms.filter(vm =>
                state.out.has(vm) || inService.has(vm)
            ).length;
            const timeLeftMs = state.seenAt + state.order.durationMs - now;
            const neededMs = Math.ceil(left / cap) * (this.serviceMs + roundOverheadMs);
            const isUrgent = neededMs > timeLeftMs * urgentShare;
            const isDue = now - state.seenAt > state.order.durationMs * patientShare;
            const emptyAtOnce = isUrgent ? cap : isDue ? Math.min(cap, emptiedPatiently) : 0;
            return left === 0 ? [] : [{ wave, free: Math.max(0, cap - out), isUrgent, emptyAtOnce }];
        });
    }

    /** Notes that a VM is being taken out. */
    begin(wave: number, vm: string, now: number): void {
        this.waves.get(wave)?.out.set(vm, now);
    }

    /** Notes that the platform has taken an order. */
    accept(wave: number, vm: string): void {
        this.waves.get(wave)?.done.add(vm);
    }

    /** Notes that an order was not carried out. */
    fail(wave: number, vm: string): void {
        this.waves.get(wave)?.out.delete(vm);
    }

    /** Notes that a VM cannot be serviced in a wave. */
    exclude(wave: number, vm: string): void {
        this.waves.get(wave)?.excluded.add(vm);
        this.waves.get(wave)?.out.delete(vm);
    }

    /** VMs that are out, with the time of their orders. */
    out(): readonly { readonly wave: number; readonly vm: string; readonly since: number }[] {
        return [...this.waves].flatMap(([wave, { out }]) =>
            [...out].map(([vm, since]) => ({ wave, vm, since }))
        );
    }

    /** Notes that a VM is up again, or gone. */
    returned(wave: number, vm: string): void {
        this.waves.get(wave)?.out.delete(vm);
    }

    /** Waves that are finished and not yet reported so. */
    finished(): readonly number[] {
        return [...this.waves]
            .filter(([, { order, done, excluded, isReported }]) =>
                !isReported && order.vms.every(vm => done.has(vm) || excluded.has(vm))
            )
            .map(([wave]) => wave);
    }

    /** Notes that operators were told. */
    report(wave: number): void {
        const state = this.waves.get(wave);
        if (state !== undefined) {
            state.isReported = true;
        }
    }

    private key(wave: number): RowKey {
        return { table: waveTable, part: this.domain, key: String(wave) };
    }
}
