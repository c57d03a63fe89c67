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
    readonly since: number;
}

/** What the order of service depends on. */
export interface FairView {
    /** Position of a team's clock; the team furthest behind is served first. */
    readonly position: (team: string) => number;
    /** Whether the team may start one more here. */
    readonly canStart: (team: string) => boolean;
    readonly now: number;
}

const deferredEvery = 10;
const deferredPatienceMs = 2000;

/** Waiting requests of one pool, in a line for each class and team. */
export class FairLine<W extends Waiter> {
    private readonly lines = new Map<QueueClass, Map<string, W[]>>([
        [QueueClass.Interactive, new Map()],
        [QueueClass.Deferred, new Map()],
    ]);
    private picks = 0;
    private waiting = 0;

    static create<W extends Waiter>(): FairLine<W> {
        return new FairLine<W>();
    }

    /** Number waiting, all classes and teams together. */
    get size(): number {
        return this.waiting;
    }

    /** Number waiting of one class and team. */
    waitingOf(queueClass: QueueClass, team: string): number {
        return this.lines.get(queueClass)!.get(team)?.length ?? 0;
    }

    /** Number waiting of one class. */
    waitingIn(queueClass: QueueClass): number {
        return [...this.lines.get(queueClass)!.values()].reduce((sum, line) => sum + line.length, 0);
    }

    /** Teams that wait in one class. */
    teamsIn(queueClass: QueueClass): readonly string[] {
        return [...this.lines.get(queueClass)!.keys()];
    }

    /** Appends a waiter to its line. */
    add(waiter: W): void {
        const lines = this.lines.get(waiter.class)!;
        const line = lines.get(waiter.team) ?? [];
        line.push(waiter);
        lines.set(waiter.team, line);
        this.waiting++;
    }

    /** Removes a waiter wherever it stands; false when it no longer waits. */
    remove(waiter: W): boolean {
        const lines = this.lines.get(waiter.class)!;
        const line = lines.get(waiter.team);
        const at = line?.indexOf(waiter) ?? -1;
        if (line === undefined || at < 0) {
            return false;
        }
        line.splice(at, 1);
        this.waiting--;
        if (line.length === 0) {
            lines.delete(waiter.team);
        }
        return true;
    }

    /** The waiter to serve next; it stays in line until removed. */
    next(view: FairView, classes: readonly QueueClass[] = bothClasses): W | undefined {
        for (const queueClass of this.order(view.now)) {
            const best = classes.includes(queueClass) ? this.bestOf(queueClass, view) : undefined;
            if (best !== undefined) {
                return best;
            }
        }
        return undefined;
    }

    /** Counts one start, so that deferred work gets its turn at times. */
    noteStart(): void {
        this.picks++;
    }

    private order(now: number): readonly QueueClass[] {
        const isDeferredTurn = this.picks % deferredEvery === deferredEvery - 1;
        return isDeferredTurn && this.isDeferredOverdue(now) ? deferredFirst : bothClasses;
    }

    private isDeferredOverdue(now: number): boolean {
        const heads = [...this.lines.get(QueueClass.Deferred)!.values()].map(line => line[0]!);
        return heads.some(head => now - head.since > deferredPatienceMs);
    }

    private bestOf(queueClass: QueueClass, view: FairView): W | undefined {
        let best: W | undefined;
        let bestPosition = Infinity;
        for (const [team, line] of this.lines.get(queueClass)!) {
            const position = view.position(team);
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
