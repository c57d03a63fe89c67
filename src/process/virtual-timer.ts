/** A timer whose clock moves only when told to, so that a run is a pure function of its seed. */
import { type Cancel, repeat, type Timer } from "./timer.js";

interface ScheduledCallback {
    readonly at: number;
    readonly order: number;
    readonly fn: () => void;
}

const wallOriginMs = Date.UTC(2026, 0, 1);

/** Virtual time. `advance` runs every callback that falls due, in order of time and then of subscription. */
export class VirtualTimer implements Timer {
    private readonly heap: ScheduledCallback[] = [];
    private clockMs = 0;
    private order = 0;

    static create(): VirtualTimer {
        return new VirtualTimer();
    }

    now(): number {
        return this.clockMs;
    }

    wall(): number {
        return wallOriginMs + this.clockMs;
    }

    after(ms: number, fn: () => void): Cancel {
        let live = true;
        this.push({
            at: this.clockMs + Math.max(0, ms),
            order: this.order++,
            fn: () => {
                if (live) {
                    fn();
                }
            },
        });
        return () => {
            live = false;
        };
    }

    every(ms: number, fn: () => void): Cancel {
        return repeat((delay, call) => this.after(delay, call), ms, fn);
    }

    /** Moves the clock by `ms`, letting pending promises settle after each callback. */
    async advance(ms: number): Promise<void> {
        const end = this.clockMs + ms;
        await flushPromises();
        for (let due = this.heap[0]; due !== undefined && due.at <= end; due = this.heap[0]) {
            this.pop();
            this.clockMs = due.at;
            due.fn();
            await flushPromises();
        }
        this.clockMs = end;
    }

    /** Moves the clock by `ms` without waiting for promises; for code that only uses callbacks. */
    advanceSync(ms: number): void {
        const end = this.clockMs + ms;
        for (let due = this.heap[0]; due !== undefined && due.at <= end; due = this.heap[0]) {
            this.pop();
            this.clockMs = due.at;
            due.fn();
        }
        this.clockMs = end;
    }

    private push(due: ScheduledCallback): void {
        const heap = this.heap;
        let at = heap.length;
        heap.push(due);
        while (at > 0) {
            const parent = (at - 1) >> 1;
            if (!isBefore(due, heap[parent]!)) {
                break;
            }
            heap[at] = heap[parent]!;
            at = parent;
        }
        heap[at] = due;
    }

    private pop(): void {
        const heap = this.heap;
        const last = heap.pop()!;
        if (heap.length === 0) {
            return;
        }
        let at = 0;
        for (;;) {
            let child = 2 * at + 1;
            if (child >= heap.length) {
                break;
            }
            if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
                child++;
            }
            if (!isBefore(heap[child]!, last)) {
                break;
            }
            heap[at] = heap[child]!;
            at = child;
        }
        heap[at] = last;
    }
}

function isBefore(a: ScheduledCallback, b: ScheduledCallback): boolean {
    return a.at < b.at || (a.at === b.at && a.order < b.order);
}

function flushPromises(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
