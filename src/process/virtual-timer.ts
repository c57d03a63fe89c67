/** A timer whose clock advances only on request, which makes simulations deterministic for a given seed. */
import { type Cancel, repeat, type Timer } from "./timer.js";

interface ScheduledCallback {
    readonly at: number;
    /** Sequence number; orders callbacks that are due at the same time. */
    readonly order: number;
    readonly fn: () => void;
}

const wallOriginMs = Date.UTC(2026, 0, 1);

/** Virtual clock. `advance` runs all callbacks that fall due, in order of due time and then of scheduling. */
export class VirtualTimer implements Timer {
    /** Binary min-heap of the scheduled callbacks, ordered by `isBefore`. */
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
        let isActive = true;
        this.push({
            at: this.clockMs + Math.max(0, ms),
            order: this.order++,
            fn: () => {
                if (isActive) {
                    fn();
                }
            },
        });
        return () => {
            isActive = false;
        };
    }

    every(ms: number, fn: () => void): Cancel {
        return repeat((delay, call) => this.after(delay, call), ms, fn);
    }

    /** Advances the clock by `ms` milliseconds and lets pending promises settle after each callback. */
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

    /** Advances the clock by `ms` milliseconds without waiting for promises; for code that uses only callbacks. */
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
