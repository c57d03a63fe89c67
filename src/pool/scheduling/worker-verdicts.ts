/**
 * Outlier detection: which workers get less work, from the ends and run times of their tasks.
 *
 * Load pattern: 9 to 14 % of the workers fail or hang 45 % of what they start, or run eight times slower, while their health
 * checks pass; at other times a queue or a job fails on all workers.
 */
import { z } from "zod";
import { parseJson } from "../../process/json.js";
import { maxPartBytes, type StatePart } from "../owner-state.js";
import { BaseRates } from "./base-rates.js";
import { type Evidence, FailureAttribution } from "./failure-attribution.js";
import { limitToPool, maxOutShare } from "./pool-limit.js";
import { RatioHistogram } from "./ratio-histogram.js";
import { evidenceOf, Fault, Verdict, WorkerScore } from "./worker-score.js";

/** One incarnation of a worker. */
export interface JudgedWorker {
    readonly id: string;
    readonly pool: string;
    /** Unix time at which this incarnation started, in milliseconds. */
    readonly startedAtMs: number;
}

/** A run whose end, or lack of one, is evidence. */
export interface JudgedRun {
    readonly worker: JudgedWorker;
    readonly queue: string;
    readonly job: string;
    readonly task: string;
    /** Monotonic time of the claim, in milliseconds. */
    readonly claimedAt: number;
}

/** Change of a verdict, for the log. */
export interface VerdictChange {
    readonly worker: string;
    readonly pool: string;
    readonly from: Verdict;
    readonly to: Verdict;
    readonly cause: Fault;
    readonly score: number;
    /** Time until the ejection ends, in milliseconds; 0 if the worker is not ejected. */
    readonly ejectedForMs: number;
}

interface WorkerRecord {
    readonly worker: JudgedWorker;
    readonly score: WorkerScore;
    /** Verdict that the score alone leads to. */
    wanted: Verdict;
    /** Verdict within the limits of the pool. */
    verdict: Verdict;
    /** Monotonic time at which the worker was last listed, in milliseconds. */
    seenAt: number;
}

/** Multiple of the queue's median run time, relative to the estimate, from which a run is slow. */
const slowFactor = 3;
/** Resolution of the ratios, which are compared with three times the median alone. */
const ratioDigits = 1;
/** Runs of a queue before which none is judged as slow. */
const minRunsForSlowness = 30;
/** Time in milliseconds for which the record of a worker that is not listed is kept; a change of owner takes less. */
const unlistedRetentionMs = 30_000;
const rateHalfLifeMs = 15_000;
/** Base rates assumed at least: some jobs fail by themselves, and three of 100 tasks take seven times as long. */
const minRates: Readonly<Record<Fault, number>> = { [Fault.Failure]: 0.01, [Fault.Slowness]: 0.04 };

const storedSchema = z.array(
    z.tuple([
        z.string(),
        z.string(),
        z.number(),
        z.number().min(0),
        z.number().min(0),
        z.number().int().min(0),
        z.number().min(0),
        z.enum(Verdict),
    ]),
);

/** Verdicts on the workers of a domain, kept across owners. */
export class WorkerVerdicts implements StatePart {
    readonly name = "worker-verdicts";
    private readonly records = new Map<string, WorkerRecord>();
    private readonly attribution = FailureAttribution.create();
    private readonly ratios = new Map<string, RatioHistogram>();
    private readonly poolSizes = new Map<string, number>();
    private readonly rates: Readonly<Record<Fault, BaseRates>> = {
        [Fault.Failure]: createRates(Fault.Failure),
        [Fault.Slowness]: createRates(Fault.Slowness),
    };
    private hasChanged = false;

    private constructor(private readonly now: () => number) {}

    /** Creates verdicts by the monotonic clock `now`, in milliseconds. */
    static create(now: () => number): WorkerVerdicts {
        return new WorkerVerdicts(now);
    }

    /** Records that a run succeeded. */
    recordSuccess(run: JudgedRun): void {
        this.apply(Fault.Failure, this.evidence(Fault.Failure, run, false), run.claimedAt, run.worker);
        this.attribution.recordSuccess(run.job, run.task)
            .forEach(evidence => this.apply(Fault.Failure, evidence, -Infinity));
    }

    /** Records that a run failed, or made no progress for so long that it is stopped. */
    recordFailure(run: JudgedRun): void {
        const evidence = this.evidence(Fault.Failure, run, true);
        const { job, task } = run;
        this.attribution.recordFailure({ ...evidence, job, task }, this.now()).forEach(added =>
            this.apply(
                Fault.Failure,
                added,
                added.amount > 0 ? run.claimedAt : -Infinity,
                added.amount > 0 ? run.worker : undefined,
            )
        );
    }

    /** Records the run time of a successful run as a multiple of its estimate, unless it was recorded as slow before. */
    recordRunTime(run: JudgedRun, ratio: number): void {
        const histogram = this.ratios.get(run.queue) ?? RatioHistogram.create(ratioDigits);
        this.ratios.set(run.queue, histogram);
        const limit = this.slowRatio(run.queue);
        histogram.record(ratio);
        if (limit !== undefined) {
            const isSlow = ratio > limit;
            this.apply(
                Fault.Slowness,
                this.evidence(Fault.Slowness, run, isSlow),
                run.claimedAt,
                run.worker,
            );
        }
    }

    /** Records that a run has exceeded `slowRatio`, before it ends. */
    recordSlow(run: JudgedRun): void {
        this.apply(Fault.Slowness, this.evidence(Fault.Slowness, run, true), run.claimedAt, run.worker);
    }

    /** Multiple of its estimate from which a run of a queue is slow; undefined before enough runs are known. */
    slowRatio(queue: string): number | undefined {
        const histogram = this.ratios.get(queue);
        return histogram === undefined || histogram.runs < minRunsForSlowness
            ? undefined
            : slowFactor * histogram.median;
    }

    /** Updates the verdicts, given all listed workers; returns those that changed. */
    update(workers: Iterable<JudgedWorker>): readonly VerdictChange[] {
        const now = this.now();
        this.poolSizes.clear();
        for (const { id, pool, startedAtMs } of workers) {
            this.poolSizes.set(pool, (this.poolSizes.get(pool) ?? 0) + 1);
            const record = this.records.get(id);
            if (record !== undefined) {
                record.seenAt = now;
                if (startedAtMs > record.worker.startedAtMs) {
                    this.records.delete(id);
                }
            }
        }
        this.updateScores(now);
        const changes: VerdictChange[] = [];
        for (const [pool, size] of this.poolSizes) {
            const records = [...this.records.values()].filter(({ worker }) => worker.pool === pool);
            for (const [record, to] of limitToPool(records, size)) {
                if (to !== record.verdict) {
                    changes.push(changeOf(record, to, now));
                    record.verdict = to;
                    this.hasChanged = true;
                }
            }
        }
        return changes;
    }

    /** Verdict on a worker. */
    verdictOf(worker: Pick<JudgedWorker, "id" | "startedAtMs">): Verdict {
        return this.recordOf(worker)?.verdict ?? Verdict.Trusted;
    }

    /** Monotonic time from which starts on a worker are trial tasks; infinite if it is not on trial. */
    trialSince(worker: Pick<JudgedWorker, "id" | "startedAtMs">): number {
        return this.recordOf(worker)?.score.trialSince ?? Infinity;
    }

    /** Text of the records with the highest scores, as many as a part may hold. */
    encode(): string | undefined {
        if (!this.hasChanged) {
            return undefined;
        }
        this.hasChanged = false;
        const now = this.now();
        const records = [...this.records.values()].sort((a, b) => b.score.value - a.score.value);
        const texts: string[] = [];
        let bytes = 2;
        for (const { worker, score, verdict } of records) {
            const { failure, slowness, ejections, ejectedForMs } = score.store(now);
            const { id, pool, startedAtMs } = worker;
            const text = JSON.stringify([
                id,
                pool,
                startedAtMs,
                failure,
                slowness,
                ejections,
                ejectedForMs,
                verdict,
            ]);
            bytes += Buffer.byteLength(text) + 1;
            if (bytes > maxPartBytes) {
                break;
            }
            texts.push(text);
        }
        return `[${texts.join(",")}]`;
    }

    restore(text: string, ageMs: number): boolean {
        const { data } = storedSchema.safeParse(parseJson(text));
        const now = this.now();
        for (
            const [id, pool, startedAtMs, failure, slowness, ejections, ejectedForMs, verdict] of data ?? []
        ) {
            const score = WorkerScore.restore(
                { failure, slowness, ejections, ejectedForMs },
                ageMs,
                now,
            );
            this.records.set(id, {
                worker: { id, pool, startedAtMs },
                score,
                wanted: verdict,
                verdict,
                seenAt: now,
            });
        }
        return data !== undefined;
    }

    private updateScores(now: number): void {
        for (const [id, record] of this.records) {
            record.wanted = record.score.update(now);
            const isForgotten = now - record.seenAt > unlistedRetentionMs;
            if (isForgotten || (record.score.isClear && record.verdict === Verdict.Trusted)) {
                this.records.delete(id);
            }
        }
    }

    private evidence(fault: Fault, { worker, queue }: JudgedRun, isBad: boolean): Evidence {
        const now = this.now();
        const rates = this.rates[fault];
        const rate = rates.rateOf(queue, this.poolSizes.get(worker.pool) ?? 1, now);
        rates.record(queue, worker.id, isBad, now);
        return {
            worker: worker.id,
            startedAtMs: worker.startedAtMs,
            amount: evidenceOf(fault, isBad, rate),
        };
    }

    /** Adds evidence to the score of a worker; a worker without record gets one if `worker` is given. */
    private apply(fault: Fault, evidence: Evidence, claimedAt: number, worker?: JudgedWorker): void {
        const { amount } = evidence;
        let record = this.recordOf({ id: evidence.worker, startedAtMs: evidence.startedAtMs });
        if (record === undefined && worker !== undefined && amount > 0) {
            const now = this.now();
            const trusted = { wanted: Verdict.Trusted, verdict: Verdict.Trusted };
            record = { worker, score: WorkerScore.create(now), ...trusted, seenAt: now };
            this.records.set(worker.id, record);
        }
        record?.score.add(fault, amount, claimedAt, this.now());
        this.hasChanged ||= record !== undefined && amount > 0;
    }

    private recordOf(
        { id, startedAtMs }: Pick<JudgedWorker, "id" | "startedAtMs">,
    ): WorkerRecord | undefined {
        const record = this.records.get(id);
        return record?.worker.startedAtMs === startedAtMs ? record : undefined;
    }
}

function createRates(fault: Fault): BaseRates {
    return BaseRates.create({
        minRate: minRates[fault],
        trimmedShare: maxOutShare,
        halfLifeMs: rateHalfLifeMs,
    });
}

function changeOf(
    { worker, score, verdict }: WorkerRecord,
    to: Verdict,
    now: number,
): VerdictChange {
    return {
        worker: worker.id,
        pool: worker.pool,
        from: verdict,
        to,
        cause: score.cause,
        score: Math.round(score.value * 10) / 10,
        ejectedForMs: Math.round(score.ejectedForMs(now)),
    };
}
