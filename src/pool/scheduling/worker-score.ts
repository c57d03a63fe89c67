/**
 * Suspicion of one worker, and what follows from it: a cumulative sum of log-likelihood ratios of its runs, under the rate of bad
 * runs of a faulty worker and under the rate of the run's queue on other workers. Failures and slow runs are summed apart.
 */

/** What a worker may be given. */
export enum Verdict {
    Trusted = "trusted",
    /** Work only when other workers have no room, and at most half of its capacity. */
    Reduced = "reduced",
    /** One task at a time. */
    Trial = "trial",
    /** Nothing until its backoff ends. */
    Ejected = "ejected",
}

/** Kind of bad run that a score counts. */
export enum Fault {
    /** The run failed or made no progress. */
    Failure = "failure",
    /** The run took far longer than the others of its queue. */
    Slowness = "slowness",
}

/** Rate of bad runs that is assumed of a faulty worker, by kind of fault. */
const faultyRates: Readonly<Record<Fault, number>> = { [Fault.Failure]: 0.4, [Fault.Slowness]: 0.6 };
/**
 * Scores from which verdicts hold. By Wald's bound, a healthy worker whose score starts at 0 reaches s once in at least exp(s)
 * runs: 33, 1,100 and 13,000 runs.
 */
const reducedScore = 3.5;
const trialScore = 7;
const ejectedScore = 9.5;
/** Highest score, so that a worker that is sound again recovers within a few trial tasks. */
const maxScore = 12;
/**
 * Factor of the evidence of a good trial task: about five end the trial. A bad one ejects the worker again if it is the first; a
 * factor of 2.5 for it ejected sound workers three times in a row, since four of 100 runs end badly anywhere.
 */
const goodTrialWeight = 1.2;
/** Time in milliseconds after which a score counts half, so that a worker without work is not suspected forever. */
const scoreHalfLifeMs = 30_000;
/** Duration of the first ejection in milliseconds; it doubles with each further one. */
const firstBackoffMs = 1000;
const maxBackoffMs = 16_000;
/** Time without a bad run, in milliseconds, after which earlier ejections no longer lengthen the next one. */
const resetAfterMs = 60_000;

/** What is stored of a score, with times relative to the time of storing, in milliseconds. */
export interface StoredScore {
    readonly failure: number;
    readonly slowness: number;
    readonly ejections: number;
    /** Time until the ejection ends; 0 if the worker is not ejected. */
    readonly ejectedForMs: number;
}

/** Log-likelihood ratio of a run for a worker being faulty, given the rate of bad runs on other workers. */
export function evidenceOf(fault: Fault, isBad: boolean, baseRate: number): number {
    const faultyRate = faultyRates[fault];
    if (baseRate >= faultyRate) {
        return 0;
    }
    return isBad
        ? Math.log(faultyRate / baseRate)
        : Math.log((1 - faultyRate) / (1 - baseRate));
}

/** Score of one incarnation of a worker. Times are monotonic, in milliseconds. */
export class WorkerScore {
    private readonly scores: Record<Fault, number> = { [Fault.Failure]: 0, [Fault.Slowness]: 0 };
    private ejections = 0;
    private ejectedAt = -Infinity;
    private ejectedUntil = -Infinity;
    private wasEjected = false;
    private lastBadAt: number;
    private decayedAt: number;
    private trialStartedAt = Infinity;

    private constructor(now: number) {
        this.lastBadAt = now;
        this.decayedAt = now;
    }

    static create(now: number): WorkerScore {
        return new WorkerScore(now);
    }

    /** Restores a score that was stored `ageMs` milliseconds ago. */
    static restore(stored: StoredScore, ageMs: number, now: number): WorkerScore {
        const score = new WorkerScore(now);
        score.scores[Fault.Failure] = Math.min(maxScore, stored.failure);
        score.scores[Fault.Slowness] = Math.min(maxScore, stored.slowness);
        score.ejections = stored.ejections;
        score.wasEjected = stored.ejectedForMs > 0;
        if (score.wasEjected) {
            score.ejectedAt = now;
            score.ejectedUntil = now + Math.min(maxBackoffMs, Math.max(0, stored.ejectedForMs - ageMs));
        }
        return score;
    }

    /** The higher one of the two scores. */
    get value(): number {
        return Math.max(this.scores[Fault.Failure], this.scores[Fault.Slowness]);
    }

    /** What the higher score counts. */
    get cause(): Fault {
        return this.scores[Fault.Failure] >= this.scores[Fault.Slowness] ? Fault.Failure : Fault.Slowness;
    }

    /** Time from which starts are trial tasks; infinite while the worker is not on trial. */
    get trialSince(): number {
        return this.trialStartedAt;
    }

    /** Whether it raises no suspicion and has no past. */
    get isClear(): boolean {
        return this.value < 0.1 && this.ejections === 0;
    }

    /** Time until the ejection ends, in milliseconds. */
    ejectedForMs(now: number): number {
        return Math.max(0, this.ejectedUntil - now);
    }

    /** Adds the evidence of a run that was claimed at `claimedAt`. */
    add(fault: Fault, amount: number, claimedAt: number, now: number): void {
        if (amount > 0 && claimedAt < this.ejectedAt) {
            // Runs that were started before an ejection have led to it, or are as bad as those that have.
            return;
        }
        const weight = claimedAt >= this.trialStartedAt && amount < 0 ? goodTrialWeight : 1;
        this.scores[fault] = Math.max(0, Math.min(maxScore, this.scores[fault] + amount * weight));
        this.lastBadAt = amount > 0 ? now : this.lastBadAt;
    }

    /** Verdict at `now`; starts and ends ejections and trials. */
    update(now: number): Verdict {
        this.decay(now);
        if (now < this.ejectedUntil) {
            return Verdict.Ejected;
        }
        if (this.wasEjected) {
            this.wasEjected = false;
            this.scores[this.cause] = trialScore;
            this.scores[Fault.Failure] = Math.min(trialScore, this.scores[Fault.Failure]);
            this.scores[Fault.Slowness] = Math.min(trialScore, this.scores[Fault.Slowness]);
            this.trialStartedAt = now;
            return Verdict.Trial;
        }
        if (this.value >= ejectedScore) {
            this.ejectedUntil = now + Math.min(maxBackoffMs, firstBackoffMs * 2 ** this.ejections);
            this.ejections++;
            this.ejectedAt = now;
            this.wasEjected = true;
            this.trialStartedAt = Infinity;
            return Verdict.Ejected;
        }
        if (this.value >= trialScore || (this.isOnTrial && this.value >= reducedScore)) {
            this.trialStartedAt = Math.min(this.trialStartedAt, now);
            return Verdict.Trial;
        }
        this.trialStartedAt = Infinity;
        return this.value >= reducedScore ? Verdict.Reduced : Verdict.Trusted;
    }

    /** What the next owner needs. */
    store(now: number): StoredScore {
        return {
            failure: round(this.scores[Fault.Failure]),
            slowness: round(this.scores[Fault.Slowness]),
            ejections: this.ejections,
            ejectedForMs: Math.ceil(this.ejectedForMs(now)),
        };
    }

    private get isOnTrial(): boolean {
        return this.trialStartedAt < Infinity;
    }

    private decay(now: number): void {
        const factor = 0.5 ** ((now - this.decayedAt) / scoreHalfLifeMs);
        this.decayedAt = now;
        this.scores[Fault.Failure] *= factor;
        this.scores[Fault.Slowness] *= factor;
        if (now - this.lastBadAt >= resetAfterMs) {
            this.ejections = 0;
        }
    }
}

function round(score: number): number {
    return Math.round(score * 10) / 10;
}
