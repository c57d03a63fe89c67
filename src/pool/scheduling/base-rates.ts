/**
 * Share of a queue's runs that end badly on ordinary workers.
 *
 * Load pattern: a queue fails or runs long on all workers at times, while a tenth of the workers fail half of what they start.
 * The rate leaves out the runs of the worst quarter of the workers, so that it shows the queue's own share alone.
 */

/** Options of `BaseRates.create`. */
export interface BaseRateOptions {
    /** Least rate: a queue without bad runs is not believed to have none. */
    readonly minRate: number;
    /** Share of the workers whose runs are left out, those with the most bad runs first. */
    readonly trimmedShare: number;
    /** Time in milliseconds after which a run counts half. */
    readonly halfLifeMs: number;
}

/** Runs of the least rate that are assumed of each queue, so that the first bad run does not set the rate. */
const priorRuns = 20;
/** Time for which a rate is kept, in milliseconds. */
const refreshMs = 250;
/** Weight below which the counts of a worker are dropped. */
const minWeight = 0.05;

interface Counts {
    runs: number;
    bad: number;
}

interface QueueRate extends Counts {
    /** Counts of the workers that had bad runs, from the first of these on. */
    readonly byWorker: Map<string, Counts>;
    /** Monotonic time up to which the counts have decayed, in milliseconds. */
    decayedAt: number;
    rate: number;
    rateAt: number;
}

/** Rates of bad runs by queue. */
export class BaseRates {
    private readonly queues = new Map<string, QueueRate>();

    private constructor(private readonly options: BaseRateOptions) {}

    static create(options: BaseRateOptions): BaseRates {
        return new BaseRates(options);
    }

    /** Adds a run of a queue on a worker at the monotonic time `now`. */
    record(queue: string, worker: string, isBad: boolean, now: number): void {
        const found = this.decayed(queue, now);
        found.runs++;
        found.bad += isBad ? 1 : 0;
        const ofWorker = found.byWorker.get(worker);
        if (ofWorker !== undefined) {
            ofWorker.runs++;
            ofWorker.bad += isBad ? 1 : 0;
        }
        else if (isBad) {
            found.byWorker.set(worker, { runs: 1, bad: 1 });
        }
    }

    /** Rate of a queue of which `workers` workers may run tasks. */
    rateOf(queue: string, workers: number, now: number): number {
        const found = this.decayed(queue, now);
        if (now - found.rateAt >= refreshMs) {
            found.rateAt = now;
            found.rate = this.trimmedRate(found, workers);
        }
        return found.rate;
    }

    private trimmedRate({ runs, bad, byWorker }: QueueRate, workers: number): number {
        const { minRate, trimmedShare } = this.options;
        const worst = [...byWorker.values()].sort((a, b) => b.bad - a.bad)
            .slice(0, Math.ceil(workers * trimmedShare));
        const leftRuns = worst.reduce((sum, counts) => sum - counts.runs, runs);
        const leftBad = worst.reduce((sum, counts) => sum - counts.bad, bad);
        const rate = (Math.max(0, leftBad) + priorRuns * minRate) / (Math.max(0, leftRuns) + priorRuns);
        return Math.max(minRate, rate);
    }

    private decayed(queue: string, now: number): QueueRate {
        const { minRate, halfLifeMs } = this.options;
        let found = this.queues.get(queue);
        if (found === undefined) {
            found = {
                runs: 0,
                bad: 0,
                byWorker: new Map(),
                decayedAt: now,
                rate: minRate,
                rateAt: -Infinity,
            };
            this.queues.set(queue, found);
        }
        if (now - found.decayedAt >= refreshMs) {
            const factor = 0.5 ** ((now - found.decayedAt) / halfLifeMs);
            found.decayedAt = now;
            found.runs *= factor;
            found.bad *= factor;
            for (const [worker, counts] of found.byWorker) {
                counts.runs *= factor;
                counts.bad *= factor;
                if (counts.bad < minWeight) {
                    found.byWorker.delete(worker);
                }
            }
        }
        return found;
    }
}
