/**
 * Jobs that were cancelled and are not accepted, as far as this owner has seen. Their acceptance may still arrive: a cancellation may
 * overtake the notification or the row of its job, and a write of the store may be carried out late. What is known of such a job is
 * kept for longer than that, and then forgotten, also by the store.
 */
import { type TransactionOutcome, TransactionStatus } from "../process/rows.js";
import { jobPart, type MarkerVersion, removeRefusalsTransaction } from "./job-rows.js";
import type { TenureContext } from "./tenure-context.js";

/** Most markers of one part that are removed at once; a transaction holds three items for each. */
const maxMarkersPerPart = 30;

/** A marker in place of a job. */
interface SeenMarker extends MarkerVersion {
    /** Monotonic time at which this owner first saw it, in milliseconds. */
    readonly seenAt: number;
}

/** Cancellations without a job, and the markers that keep jobs from being accepted. */
export class UnacceptedJobs {
    /** Monotonic times of cancellations, in milliseconds, by job. */
    private readonly cancelledAt = new Map<string, number>();
    /** Markers by job, the oldest first. */
    private readonly markers = new Map<string, SeenMarker>();

    constructor(private readonly ctx: TenureContext) {}

    /** Number of jobs that are remembered. */
    get count(): number {
        return this.cancelledAt.size + this.markers.size;
    }

    /** Records the cancellation of a job that this owner does not know. */
    recordCancellation(id: string): void {
        this.cancelledAt.delete(id);
        this.cancelledAt.set(id, this.ctx.options.timer.now());
    }

    /** Records the marker in place of a job. */
    recordMarker({ id, version }: MarkerVersion): void {
        this.markers.delete(id);
        this.markers.set(id, { id, version, seenAt: this.ctx.options.timer.now() });
    }

    /** Forgets a job that was accepted; returns whether it was cancelled before. */
    recordAcceptance(id: string): boolean {
        this.markers.delete(id);
        return this.cancelledAt.delete(id);
    }

    /** Forgets what is older than finished jobs are kept, and removes such markers from the store. */
    async removeExpired(): Promise<void> {
        const { timer, times, store, jobParts } = this.ctx.options;
        const before = timer.now() - times.keepFinalMs;
        for (const [id, at] of this.cancelledAt) {
            if (at >= before) {
                break;
            }
            this.cancelledAt.delete(id);
        }
        if (!this.ctx.isReady || !this.ctx.mayOrder()) {
            return;
        }
        await Promise.all([...this.expiredMarkers(before).values()].map(async markers => {
            const outcome = await store.transact(removeRefusalsTransaction(markers, jobParts));
            this.applyRemoval(markers, outcome);
        }));
    }

    private expiredMarkers(before: number): ReadonlyMap<string, readonly SeenMarker[]> {
        const byPart = new Map<string, SeenMarker[]>();
        for (const marker of this.markers.values()) {
            if (marker.seenAt >= before) {
                break;
            }
            const part = jobPart(marker.id, this.ctx.options.jobParts);
            const markers = byPart.get(part) ?? [];
            byPart.set(part, markers);
            if (markers.length < maxMarkersPerPart) {
                markers.push(marker);
            }
        }
        return byPart;
    }

    /** Forgets the markers that are gone; those of a transaction without an outcome are removed again. */
    private applyRemoval(markers: readonly SeenMarker[], outcome: TransactionOutcome): void {
        const isCurrent = ({ id, version }: SeenMarker): boolean => this.markers.get(id)?.version === version;
        switch (outcome.kind) {
            case TransactionStatus.Committed:
                markers.filter(isCurrent).forEach(({ id }) => this.markers.delete(id));
                return;
            case TransactionStatus.Conflict: {
                const versions = new Map(
                    outcome.rows.map(({ key, version, isRemoved }) => [key, isRemoved ? 0 : version]),
                );
                markers.filter(isCurrent)
                    .filter(({ id, version }) => (versions.get(id) ?? 0) !== version)
                    .forEach(({ id }) => this.markers.delete(id));
                return;
            }
            case TransactionStatus.Refused:
            case TransactionStatus.Invalid:
            case TransactionStatus.Unknown:
                return;
        }
    }
}
