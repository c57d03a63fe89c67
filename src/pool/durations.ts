/** Learned run times by queue. Callers' estimates are off by half or more; a queue's own history corrects them. */

/** Weight of the newest run in the moving average. */
const learningRate = 0.05;
/** Assumed for a queue without history when the caller gave no estimate, in milliseconds. */
const unknownMs = 1000;
/** Runs after which the average is trusted as much as the estimate. */
const enoughRuns = 10;

interface Average {
    ms: number;
    runs: number;
}

/** Run times seen so far. */
export class Durations {
    private readonly averages = new Map<string, Average>();

    static create(): Durations {
        return new Durations();
    }

    /** Notes that a run took `ms` milliseconds. */
    learn(queue: string, ms: number): void {
        const average = this.averages.get(queue);
        if (average === undefined) {
            this.averages.set(queue, { ms, runs: 1 });
            return;
        }
        average.runs++;
        average.ms += (ms - average.ms) * Math.max(learningRate, 1 / average.runs);
    }

    /** Expected duration of a run, in milliseconds: the geometric mean of the estimate and what was learned. */
    expect(queue: string, estimateMs: number): number {
        const average = this.averages.get(queue);
        const estimate = estimateMs > 0 ? estimateMs : average?.ms ?? unknownMs;
        if (average === undefined) {
            return estimate;
        }
        const trust = Math.min(1, average.runs / enoughRuns) / 2;
        return estimate ** (1 - trust) * average.ms ** trust;
    }
}
