/** Notices when this process gets too little processor time: its timers then fire late again and again. */
import type { Cancel, Timer } from "./timer.js";

const sampleMs = 100;
/** Samples that are looked at; a single pause does not make a process slow. */
const samplesKept = 7;
/** Lateness of the middle sample from which the process counts as slow, in milliseconds. */
const slowMs = 40;

/** Measures how late timers fire. */
export class LagMeter {
    private readonly lags: number[] = [];
    private dueAt = 0;
    private cancel: Cancel = () => undefined;

    private constructor(private readonly timer: Timer) {}

    static create(timer: Timer): LagMeter {
        return new LagMeter(timer);
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
        return sorted.length < samplesKept ? 0 : sorted[Math.floor(samplesKept / 2)]!;
    }

    /** Whether the process is too slow for duties that others wait for. */
    get isSlow(): boolean {
        return this.medianMs > slowMs;
    }

    private schedule(): void {
        this.dueAt = this.timer.now() + sampleMs;
        this.cancel = this.timer.after(sampleMs, () => {
            this.lags.push(Math.max(0, this.timer.now() - this.dueAt));
            if (this.lags.length > samplesKept) {
                this.lags.shift();
            }
            this.schedule();
        });
    }
}
