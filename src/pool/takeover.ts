/**
 * One attempt of an entry to take its domain over: reads the owner row, asks witnesses whether they hear from the owner, and
 * replaces the row.
 */
import { EventId, Severity } from "../process/events.js";
import { runFlow } from "../process/flow.js";
import { readRow, type StoredRow } from "../process/rows.js";
import { sleep } from "../process/timer.js";
import type { DomainOptions } from "./domain-options.js";
import { inheritLeaseBounds, leaseBoundsKey, leaseBoundsRow } from "./lease-bounds.js";
import { type LedgerEffect, releaseTransaction, takeOver, type TakeoverResult } from "./ledger.js";
import { maxHealthyProbeMs, type OwnerFitness } from "./owner-fitness.js";
import { type OwnerMessenger, OwnerTopic } from "./owner-messages.js";
import type { OwnerView } from "./owner-view.js";
import { ownerKey, ownerTimeoutMs } from "./ownership.js";
import type { PeerLinks } from "./peer-links.js";
import type { OwnerSuspicion } from "./takeover-phases.js";

/** Options of `Takeover.create`. */
export interface TakeoverOptions extends
    Pick<
        DomainOptions,
        "store" | "timer" | "log" | "name" | "entry" | "incarnation" | "times" | "peers"
    >
{
    readonly view: OwnerView;
    readonly links: PeerLinks;
    readonly fitness: OwnerFitness;
    readonly messenger: OwnerMessenger;
    /** Whether this entry is shutting down. */
    readonly isStopping: () => boolean;
    readonly onOwnerRow: (row: StoredRow | undefined) => void;
    /** Begins the tenure after a takeover. */
    readonly onTaken: (taken: CompletedTakeover) => Promise<void>;
}

/** A takeover that the store has committed, and the suspicion that led to it. */
export type CompletedTakeover = Extract<TakeoverResult, { kind: "taken" }> & {
    readonly suspicion: OwnerSuspicion;
};

const silenceQueryTimeoutMs = 200;
/** Pause before the next attempt after another entry has won a takeover. */
const lostTakeoverPauseMs = 500;

/** Attempts of an entry to take its domain over. */
export class Takeover {
    private constructor(private readonly options: TakeoverOptions) {}

    static create(options: TakeoverOptions): Takeover {
        return new Takeover(options);
    }

    /** Whether this entry would take over from an owner that was silent for `ownerSilentMs` milliseconds. */
    isDue(ownerSilentMs: number, storeAgeMs = 0): boolean {
        const { view, fitness, isStopping } = this.options;
        const rank = fitness.rank(view.owner?.entry);
        return view.wouldTakeOver({ ownerSilentMs, storeAgeMs, rank, isStopping: isStopping() });
    }

    /** Takes the domain over if the owner is silent for this entry and its witnesses; rejects if the store is down. */
    async attempt(): Promise<void> {
        const { store, timer, log, name, view } = this.options;
        const probeStartedAt = timer.now();
        const row = await readRow(store, ownerKey(name));
        const probeMs = timer.now() - probeStartedAt;
        this.options.onOwnerRow(row);
        const silentMs = await this.minOwnerSilenceMs();
        const isOwnStoreSlow = silentMs <= ownerTimeoutMs && probeMs > maxHealthyProbeMs;
        if (isOwnStoreSlow || !this.isDue(silentMs, probeMs)) {
            return;
        }
        log.write(Severity.Warn, EventId.OwnerSuspected, {
            owner: view.owner?.entry,
            fence: view.owner?.fence,
            silentMs: Math.round(silentMs),
            ownerStoreAgeMs: Math.round(view.lastHeartbeat?.storeAgeMs ?? 0),
            probeMs: Math.round(probeMs),
        });
        const suspicion = { at: timer.now(), silentMs };
        const result = await this.replaceOwner(view.fence);
        switch (result.kind) {
            case "lost":
                view.seenAt = Math.max(view.seenAt, timer.now() - ownerTimeoutMs + lostTakeoverPauseMs);
                return;
            case "taken":
                if (this.options.isStopping()) {
                    await this.releaseUnused({ ...result, suspicion });
                }
                else if (view.fence > result.head.owner.fence) {
                    this.abandon({ ...result, suspicion });
                }
                else {
                    await this.options.onTaken({ ...result, suspicion });
                }
        }
    }

    private replaceOwner(suspectFence: number): Promise<TakeoverResult> {
        const { name, entry, incarnation, times, view } = this.options;
        return runFlow(
            takeOver(name, {
                entry,
                incarnation,
                suspectFence,
                inheritBounds: (fence, previous, stored) =>
                    inheritLeaseBounds({
                        fence,
                        previous,
                        stored,
                        hasStopped: owner => view.hasStoppedOrdering(owner),
                        times,
                    }),
            }),
            effect => this.performLedgerEffect(effect),
        );
    }

    /** Begins no tenure after a takeover whose answer came later than the news of the next owner. */
    private abandon({ head }: CompletedTakeover): void {
        const { log, view, messenger } = this.options;
        log.write(Severity.Warn, EventId.OwnerSuperseded, {
            domain: head.domain,
            fence: head.owner.fence,
            cause: `owner row had the higher fence ${view.fence} before this takeover was answered`,
        });
        messenger.announceEnd(OwnerTopic.SteppedDown, head.owner.fence);
    }

    /** Releases the domain after a takeover that ended during the shutdown. */
    private async releaseUnused({ head, leaseBounds }: CompletedTakeover): Promise<void> {
        const { store, name, messenger } = this.options;
        const flags = { hasLeft: true, wasSlow: false };
        await store.transact(releaseTransaction(head, flags, [leaseBoundsRow(name, leaseBounds)]));
        messenger.announceEnd(OwnerTopic.Released, head.owner.fence);
    }

    /** Shortest time, over this entry and the witnesses that respond, since a message from the owner was received. */
    private async minOwnerSilenceMs(): Promise<number> {
        const { peers, links, view } = this.options;
        const queries = links.witnesses(view.owner?.entry)
            .map(vm => peers.request(vm, OwnerTopic.Silence, {}, silenceQueryTimeoutMs));
        const responses = await Promise.allSettled(queries);
        const silencesMs = responses.map(response =>
            response.status === "fulfilled" ? (response.value as { silentMs: number }).silentMs : Infinity
        );
        return Math.min(view.silentMs, ...silencesMs);
    }

    private async performLedgerEffect(effect: LedgerEffect): Promise<unknown> {
        const { store, timer, name } = this.options;
        switch (effect.kind) {
            case "transact":
                return store.transact(effect.tx);
            case "read-ownership": {
                const [owner, leaseBounds] = await Promise.all([
                    readRow(store, ownerKey(name)),
                    readRow(store, leaseBoundsKey(name)),
                ]);
                return { owner, leaseBounds };
            }
            case "pause":
                await sleep(timer, effect.ms);
                return undefined;
        }
    }
}
