/** Progress of maintenance waves: which VMs are done or in maintenance, and how urgent the remaining ones are. */
import { z } from "zod";
import { parseJson } from "../process/json.js";
import type { RowKey, RowPut, StoredRow } from "../process/rows.js";
import type { MaintenanceWave } from "../version/operator-table.js";

/** Table of the rows with the progress of waves. */
export const waveTable = "waves";

interface WaveState {
    readonly order: MaintenanceWave;
    readonly members: ReadonlySet<string>;
    /** Monotonic time at which an owner first saw the wave; before this process began, if it was an earlier one. */
    firstSeenAt: number;
    readonly done: Set<string>;
    /** VMs that cannot be maintained: gone, or not part of the wave according to the platform. */
    readonly excluded: Set<string>;
    /** VMs ordered into maintenance and not back yet, with the monotonic time from which an inventory tells whether they are. */
    readonly inProgress: Map<string, number>;
    isReported: boolean;
}

const waveRowSchema = z.object({
    done: z.array(z.string()),
    /** Unix time at which an owner first saw the wave, in milliseconds; absent in rows of earlier versions. */
    firstSeenMs: z.number().optional(),
});

/** The present time on both clocks, in milliseconds. */
export interface WaveTime {
    /** Monotonic time. */
    readonly now: number;
    /** Unix time. */
    readonly wallMs: number;
}

/**
 * Share of the remaining time that the remaining rounds of maintenance may need. Above it the wave is urgent, and VMs
 * are drained as fast as its cap allows.
 */
const urgentTimeShare = 0.5;
/** Initial share of a wave's time in which only idle VMs are maintained. */
const idleOnlyTimeShare = 0.1;
/** Share of the remaining time within which the VMs in use are to be drained after that. */
const drainTimeShare = 0.7;
/** Time that draining a VM and its orders add to a round of maintenance. */
const roundOverheadMs = 2500;

/** The waves known to the owner of a domain. */
export class WaveTracker {
    private readonly waves = new Map<number, WaveState>();

    private constructor(private readonly domain: string, private readonly maintenanceMs: number) {}

    static create(domain: string, serviceMs: number): WaveTracker {
        return new WaveTracker(domain, serviceMs);
    }

    /** Adds the waves that operators ordered; returns those that are new. */
    addOrders(orders: Iterable<MaintenanceWave>, now: number): readonly MaintenanceWave[] {
        const added: MaintenanceWave[] = [];
        for (const order of orders) {
            if (!this.waves.has(order.wave)) {
                added.push(order);
                this.waves.set(order.wave, {
                    order,
                    members: new Set(order.vms),
                    firstSeenAt: now,
                    done: new Set(),
                    excluded: new Set(),
                    inProgress: new Map(),
                    isReported: false,
                });
            }
        }
        return added;
    }

    /** Adds the progress that an earlier owner stored, and when an owner first saw each wave; returns the waves that it has. */
    restore(rows: readonly StoredRow[], { now, wallMs }: WaveTime): readonly number[] {
        const restored: number[] = [];
        for (const row of rows) {
            const state = this.waves.get(Number(row.key));
            // A malformed row counts as no progress; the platform itself records which VMs are done.
            const parsed = waveRowSchema.safeParse(parseJson(row.value));
            if (state !== undefined && parsed.success) {
                const { done, firstSeenMs = wallMs } = parsed.data;
                done.forEach(vm => state.done.add(vm));
                // Wall clocks may be wrong: the time is limited to what the wave's duration allows.
                const ageMs = Math.min(state.order.durationMs, Math.max(0, wallMs - firstSeenMs));
                state.firstSeenAt = Math.min(state.firstSeenAt, now - ageMs);
                restored.push(Number(row.key));
            }
        }
        return restored;
    }

    /** Row with the progress of a wave. */
    progressRow(wave: number, { now, wallMs }: WaveTime): RowPut {
        const state = this.waves.get(wave);
        const done = [...state?.done ?? []];
        const firstSeenMs = Math.round(wallMs - (now - (state?.firstSeenAt ?? now)));
        return { ...this.key(wave), value: JSON.stringify({ done, firstSeenMs }) };
    }

    /** First wave for which a VM is still due; undefined if there is none. */
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
     * Waves that still have VMs due, with the number of VMs that may enter maintenance now. VMs of `inMaintenance` count against
     * the cap as well, whoever has ordered them, and so do those that are ordered for another wave.
     *
     * Load pattern: a wave over half of the site's VMs, many of which run services that may leave only one after the other.
     * Of the VMs in use, the share is drained at once that is needed for all of them to be done in time.
     */
    openWaves(now: number, inMaintenance: Pick<ReadonlySet<string>, "has">) {
        const ordered = new Set(this.inProgress().map(({ vm }) => vm));
        return [...this.waves].flatMap(([wave, state]) => {
            const remaining = state.order.vms.filter(vm =>
                !state.done.has(vm) && !state.excluded.has(vm) && !state.inProgress.has(vm)
            ).length;
            const cap = Math.max(1, state.order.cap);
            const slotsInUse = state.order.vms.filter(vm =>
                ordered.has(vm) || inMaintenance.has(vm)
            ).length;
            const timeLeftMs = state.firstSeenAt + state.order.durationMs - now;
            const roundMs = this.maintenanceMs + roundOverheadMs;
            const neededMs = Math.ceil(remaining / cap) * roundMs;
            const drainShare = roundMs / Math.max(1, timeLeftMs * drainTimeShare);
            const isUrgent = neededMs > timeLeftMs * urgentTimeShare;
            const isDue = now - state.firstSeenAt > state.order.durationMs * idleOnlyTimeShare;
            const maxDraining = isUrgent || isDue ? cap : 0;
            return remaining === 0
                ? []
                : [{
                    wave,
                    members: state.members,
                    availableSlots: Math.max(0, cap - slotsInUse),
                    isUrgent,
                    maxDraining,
                    drainShare: isUrgent ? 1 : drainShare,
                }];
        });
    }

    /** Time until a wave should have ended, in milliseconds; negative once it is late, infinite for an unknown wave. */
    timeLeftMs(wave: number, now: number): number {
        const state = this.waves.get(wave);
        return state === undefined ? Infinity : state.firstSeenAt + state.order.durationMs - now;
    }

    /**
     * Records that a VM is being ordered into maintenance. An inventory that is requested at the monotonic time `toldFrom` or later
     * tells whether it is back.
     */
    recordStart(wave: number, vm: string, toldFrom: number): void {
        this.waves.get(wave)?.inProgress.set(vm, toldFrom);
    }

    /** Records that the platform accepted the order for a VM. */
    recordAccepted(wave: number, vm: string): void {
        this.waves.get(wave)?.done.add(vm);
    }

    /** Records that the platform did not carry out the order for a VM. */
    recordFailure(wave: number, vm: string): void {
        this.waves.get(wave)?.inProgress.delete(vm);
    }

    /** Records that a VM cannot be maintained in a wave. */
    exclude(wave: number, vm: string): void {
        this.waves.get(wave)?.excluded.add(vm);
        this.waves.get(wave)?.inProgress.delete(vm);
    }

    /**
     * Excludes the VMs of all waves that the inventory does not show. One that was requested at the monotonic time `readAt`, before
     * a wave was known, tells nothing of its VMs, which may have come since.
     */
    excludeMissing(isListed: (vm: string) => boolean, readAt: number): void {
        for (const [wave, { order, firstSeenAt }] of this.waves) {
            if (readAt >= firstSeenAt) {
                order.vms.filter(vm => !isListed(vm)).forEach(vm => this.exclude(wave, vm));
            }
        }
    }

    /** VMs ordered into maintenance, with the monotonic time from which an inventory tells whether they are back. */
    inProgress(): readonly { readonly wave: number; readonly vm: string; readonly toldFrom: number }[] {
        return [...this.waves].flatMap(([wave, { inProgress }]) =>
            [...inProgress].map(([vm, toldFrom]) => ({ wave, vm, toldFrom }))
        );
    }

    /** Records that a VM is up again, or gone. */
    recordReturn(wave: number, vm: string): void {
        this.waves.get(wave)?.inProgress.delete(vm);
    }

    /** Finished waves that are not yet reported as finished. */
    unreportedFinished(): readonly number[] {
        return [...this.waves]
            .filter(([, { order, done, excluded, isReported }]) =>
                !isReported && order.vms.every(vm => done.has(vm) || excluded.has(vm))
            )
            .map(([wave]) => wave);
    }

    /** Records that a wave was reported as finished. */
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
