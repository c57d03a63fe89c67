/** Notices when this process gets too little processor time: its timers then fire late again and again. */
import type { Cancel, Timer } from "./timer.js";

const sampleIntervalMs = 100;
/** Samples that are looked at; a single pause does not make a process slow. */
const sampleCount = 7;
/** Lateness of the middle sample from which the process counts as slow, in milliseconds. */
const laggingThresholdMs = 40;

/** Measures how late timers fire. */
export class EventLoopLagMonitor {
    private readonly lags: number[] = [];
    private dueAt = 0;
    private cancel: Cancel = () => undefined;

    private constructor(private readonly timer: Timer) {}

    static create(timer: Timer): EventLoopLagMonitor {
        return new EventLoopLagMonitor(timer);
    }

    start(): void {
        this.schedule();
    }

    stop(): void {
        this.cancel();
    }

    /** Lateness of the middle of the last samples, in milliseconds; 0 until there are enough. */
    get medianMs(): number {
        const sorted = [...this.lags].sort((a, b) => a - b);
        return sorted.length < sampleCount ? 0 : sorted[Math.floor(sampleCount / 2)]!;
    }

    /** Whether the process is too slow for duties that others wait for. */
    get isLagging(): boolean {
        return this.medianMs > laggingThresholdMs;
    }

    private schedule(): void {
        this.dueAt = this.timer.now() + sampleIntervalMs;
        this.cancel = this.timer.after(sampleIntervalMs, () => {
            this.lags.push(Math.max(0, this.timer.now() - this.dueAt));
            if (this.lags.length > sampleCount) {
                this.lags.shift();
            }
            this.schedule();
        });
    }
}
