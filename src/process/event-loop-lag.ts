/** Detects that this process gets too little CPU time, from timers that repeatedly fire late. */
import type { Cancel, Timer } from "./timer.js";

const sampleIntervalMs = 100;
/** Number of samples for the median; with several, a single pause does not count as lag. */
const sampleCount = 7;
/** Median delay of timers above which the process counts as lagging, in milliseconds. */
const laggingThresholdMs = 40;

/** Measures by how much timers fire late. */
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

    /** Median delay of the latest samples, in milliseconds; 0 until there are enough samples. */
    get medianMs(): number {
        const sorted = [...this.lags].sort((a, b) => a - b);
        return sorted.length < sampleCount ? 0 : sorted[Math.floor(sampleCount / 2)]!;
    }

    /** Whether the process lags too much for duties on which other entries depend, such as ownership. */
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
