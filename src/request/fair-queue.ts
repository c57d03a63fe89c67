/**
 * Weighted fair queue of one pool: interactive work is served before deferred work, and within a class the team with
 * the smallest virtual time is served first.
 */
import { QueueClass } from "../version/schema.js";

/** An element of the queue: a request or job waiting for a slot. */
export interface Waiter {
    readonly team: string;
    readonly class: QueueClass;
    /** Monotonic time at which the wait began, in milliseconds. */
    readonly enqueuedAt: number;
}

/** State of the scheduler that determines the order of service. */
export interface SchedulingView {
    /** Virtual time of a team; the smallest is served first. */
    readonly virtualTime: (team: string) => number;
    /** Whether the team may start one more request on this entry. */
    readonly canStart: (team: string) => boolean;
    /** Monotonic time in milliseconds. */
    readonly now: number;
}

/** Every tenth start goes to deferred work first, if some of it has waited longer than `deferredMaxWaitMs`. */
const deferredStartInterval = 10;
const deferredMaxWaitMs = 2000;

/** Waiting requests of one pool, first in first out within each class and team. */
export class FairQueue<W extends Waiter> {
    private readonly waitersByClass = new Map<QueueClass, Map<string, W[]>>([
        [QueueClass.Interactive, new Map()],
        [QueueClass.Deferred, new Map()],
    ]);
    private starts = 0;
    private waitingCount = 0;

    static create<W extends Waiter>(): FairQueue<W> {
        return new FairQueue<W>();
    }

    /** Number of waiters of all classes and teams. */
    get size(): number {
        return this.waitingCount;
    }

    /** Number of waiters of one class and team. */
    waitingOf(queueClass: QueueClass, team: string): number {
        return this.waitersByClass.get(queueClass)!.get(team)?.length ?? 0;
    }

    /** Number of waiters of one class. */
    waitingIn(queueClass: QueueClass): number {
        return [...this.waitersByClass.get(queueClass)!.values()].reduce(
            (sum, waiters) => sum + waiters.length,
            0,
        );
    }

    /** Teams with waiters in one class. */
    teamsWaitingIn(queueClass: QueueClass): readonly string[] {
        return [...this.waitersByClass.get(queueClass)!.keys()];
    }

    /** Appends a waiter to those of its class and team. */
    add(waiter: W): void {
        const byTeam = this.waitersByClass.get(waiter.class)!;
        const waiters = byTeam.get(waiter.team) ?? [];
        waiters.push(waiter);
        byTeam.set(waiter.team, waiters);
        this.waitingCount++;
    }

    /** Removes a waiter from any position; false when it is not queued. */
    remove(waiter: W): boolean {
        const byTeam = this.waitersByClass.get(waiter.class)!;
        const waiters = byTeam.get(waiter.team);
        const at = waiters?.indexOf(waiter) ?? -1;
        if (waiters === undefined || at < 0) {
            return false;
        }
        waiters.splice(at, 1);
        this.waitingCount--;
        if (waiters.length === 0) {
            byTeam.delete(waiter.team);
        }
        return true;
    }

    /**
     * The waiter to serve next among the given classes; undefined when no team with waiters may start. The waiter stays
     * queued until it is removed.
     */
    peekNext(view: SchedulingView, classes: readonly QueueClass[] = bothClasses): W | undefined {
        for (const queueClass of this.classOrder(view.now)) {
            const best = classes.includes(queueClass) ? this.nextInClass(queueClass, view) : undefined;
            if (best !== undefined) {
                return best;
            }
        }
        return undefined;
    }

    /** Counts a start, so that deferred work is not starved by a steady stream of interactive work. */
    countStart(): void {
        this.starts++;
    }

    private classOrder(now: number): readonly QueueClass[] {
        const isDeferredTurn = this.starts % deferredStartInterval === deferredStartInterval - 1;
        return isDeferredTurn && this.isDeferredOverdue(now) ? deferredFirst : bothClasses;
    }

    private isDeferredOverdue(now: number): boolean {
        const heads = [...this.waitersByClass.get(QueueClass.Deferred)!.values()].map(waiters => waiters[0]!);
        return heads.some(head => now - head.enqueuedAt > deferredMaxWaitMs);
    }

    private nextInClass(queueClass: QueueClass, view: SchedulingView): W | undefined {
        let best: W | undefined;
        let bestVirtualTime = Infinity;
        for (const [team, waiters] of this.waitersByClass.get(queueClass)!) {
            const virtualTime = view.virtualTime(team);
            if (virtualTime < bestVirtualTime && view.canStart(team)) {
                best = waiters[0];
                bestVirtualTime = virtualTime;
            }
        }
        return best;
    }
}

const bothClasses = [QueueClass.Interactive, QueueClass.Deferred] as const;
const deferredFirst = [QueueClass.Deferred, QueueClass.Interactive] as const;
