/**
 * The waiting line of one pool: interactive work before deferred, and within a class the team whose share clock
 * is furthest behind first.
 */
import { QueueClass } from "../version/schema.js";

/** Something that waits for a slot. */
export interface Waiter {
    readonly team: string;
    readonly class: QueueClass;
    /** Monotonic time at which it began to wait, in milliseconds. */
    readonly enqueuedAt: number;
}

/** What the order of service depends on. */
export interface FairQueueView {
    /** Position of a team's clock; the team furthest behind is served first. */
    readonly virtualTime: (team: string) => number;
    /** Whether the team may start one more here. */
    readonly canStart: (team: string) => boolean;
    readonly now: number;
}

const deferredStartInterval = 10;
const deferredMaxWaitMs = 2000;

/** Waiting requests of one pool, in a line for each class and team. */
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

    /** Number waiting, all classes and teams together. */
    get size(): number {
        return this.waitingCount;
    }

    /** Number waiting of one class and team. */
    waitingOf(queueClass: QueueClass, team: string): number {
        return this.waitersByClass.get(queueClass)!.get(team)?.length ?? 0;
    }

    /** Number waiting of one class. */
    waitingIn(queueClass: QueueClass): number {
        return [...this.waitersByClass.get(queueClass)!.values()].reduce((sum, line) => sum + line.length, 0);
    }

    /** Teams that wait in one class. */
    teamsWaitingIn(queueClass: QueueClass): readonly string[] {
        return [...this.waitersByClass.get(queueClass)!.keys()];
    }

    /** Appends a waiter to its line. */
    add(waiter: W): void {
        const lines = this.waitersByClass.get(waiter.class)!;
        const line = lines.get(waiter.team) ?? [];
        line.push(waiter);
        lines.set(waiter.team, line);
        this.waitingCount++;
    }

    /** Removes a waiter wherever it stands; false when it no longer waits. */
    remove(waiter: W): boolean {
        const lines = this.waitersByClass.get(waiter.class)!;
        const line = lines.get(waiter.team);
        const at = line?.indexOf(waiter) ?? -1;
        if (line === undefined || at < 0) {
            return false;
        }
        line.splice(at, 1);
        this.waitingCount--;
        if (line.length === 0) {
            lines.delete(waiter.team);
        }
        return true;
    }

    /** The waiter to serve next; it stays in line until removed. */
    peekNext(view: FairQueueView, classes: readonly QueueClass[] = bothClasses): W | undefined {
        for (const queueClass of this.classOrder(view.now)) {
            const best = classes.includes(queueClass) ? this.nextInClass(queueClass, view) : undefined;
            if (best !== undefined) {
                return best;
            }
        }
        return undefined;
    }

    /** Counts one start, so that deferred work gets its turn at times. */
    countStart(): void {
        this.starts++;
    }

    private classOrder(now: number): readonly QueueClass[] {
        const isDeferredTurn = this.starts % deferredStartInterval === deferredStartInterval - 1;
        return isDeferredTurn && this.isDeferredOverdue(now) ? deferredFirst : bothClasses;
    }

    private isDeferredOverdue(now: number): boolean {
        const heads = [...this.waitersByClass.get(QueueClass.Deferred)!.values()].map(line => line[0]!);
        return heads.some(head => now - head.enqueuedAt > deferredMaxWaitMs);
    }

    private nextInClass(queueClass: QueueClass, view: FairQueueView): W | undefined {
        let best: W | undefined;
        let bestPosition = Infinity;
        for (const [team, line] of this.waitersByClass.get(queueClass)!) {
            const position = view.virtualTime(team);
            if (position < bestPosition && view.canStart(team)) {
                best = line[0];
                bestPosition = position;
            }
        }
        return best;
    }
}

const bothClasses = [QueueClass.Interactive, QueueClass.Deferred] as const;
const deferredFirst = [QueueClass.Deferred, QueueClass.Interactive] as const;
