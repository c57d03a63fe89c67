/**
 * The store client. It applies timeouts, retries with backoff, a rate limit with priorities and a circuit breaker, and
 * determines from the write tokens of the rows what became of a transaction whose answer was lost.
 */
import { PlatformError, StoreBusyError } from "../../process/errors.js";
import { EventId, Severity } from "../../process/events.js";
import type { Log } from "../../process/log.js";
import type { Metrics } from "../../process/metrics.js";
import type { Platform } from "../../process/platform.js";
import type { Random } from "../../process/random.js";
import { CommitOutcome, type Store, type StoreEffect, StoreEffectKind } from "../../process/store.js";
import { sleep, type Timer, withTimeout } from "../../process/timer.js";
import { CallRateLimiter } from "./call-rate-limiter.js";
import { CircuitBreaker, CircuitState } from "./circuit-breaker.js";
import { addWriteToken, stripTokens, WriteOutcome, writeOutcomeOf } from "./write-tokens.js";

/** Options of `StoreClient.create`. */
export interface StoreClientOptions {
    readonly platform: Platform;
    readonly timer: Timer;
    readonly random: Random;
    readonly metrics: Metrics;
    readonly log: Log;
    /** Maximum rate of reads and writes of this entry, in calls per second. */
    readonly callsPerSecond?: number;
    /** Timeout of one call, in milliseconds. */
    readonly callTimeoutMs?: number;
    /** Time after which an effect is not attempted again, in milliseconds. */
    readonly effectTimeoutMs?: number;
}

type CommitEffect = Extract<StoreEffect, { kind: StoreEffectKind.Commit }>;

const firstBackoffMs = 50;
const backoffFactor = 2;
const tokenPartLimit = 0x7fffffff;
const tokenRadix = 36;

/** Performs store effects against a platform that may be slow or unavailable, or whose answers may be lost. */
export class StoreClient implements Store {
    private readonly breaker: CircuitBreaker;
    private readonly rateLimiter: CallRateLimiter;

    private constructor(private readonly options: StoreClientOptions) {
        const { timer, random, callsPerSecond = 200 } = options;
        this.breaker = CircuitBreaker.create({ now: () => timer.now(), random });
        this.rateLimiter = CallRateLimiter.create({ timer, perSecond: callsPerSecond });
    }

    static create(options: StoreClientOptions): StoreClient {
        return new StoreClient(options);
    }

    /** Sets the maximum rate of this entry, in calls per second. */
    setRate(perSecond: number): void {
        this.rateLimiter.setRate(perSecond);
    }

    perform(effect: StoreEffect): Promise<unknown> {
        const { platform } = this.options;
        switch (effect.kind) {
            case StoreEffectKind.Get:
                return this.performWithRetries(
                    effect,
                    async () => stripTokens(await platform.get(effect.key)),
                );
            case StoreEffectKind.Scan:
                return this.performWithRetries(effect, async () => {
                    const rows = await platform.scan(effect.prefix, effect.after, effect.limit);
                    return rows.map(row => stripTokens(row));
                });
            case StoreEffectKind.Commit:
                return this.commit(effect);
            case StoreEffectKind.PutObject:
                return this.performWithRetries(effect, () => platform.putObject(effect.key, effect.body));
            case StoreEffectKind.GetObject:
                return this.performWithRetries(effect, () => platform.getObject(effect.key));
            case StoreEffectKind.DeleteObject:
                return this.performWithRetries(effect, () => platform.deleteObject(effect.key));
        }
    }

    private async performWithRetries<T>(effect: StoreEffect, call: () => Promise<T>): Promise<T> {
        const deadline = this.effectDeadline();
        for (let backoffMs = firstBackoffMs;; backoffMs *= backoffFactor) {
            try {
                return await this.performOnce(effect, call);
            }
            catch (err) {
                await this.backOffOrThrow(backoffMs, deadline, err);
            }
        }
    }

    private async commit(effect: CommitEffect): Promise<CommitOutcome> {
        const { platform, random, metrics } = this.options;
        const token = random.int(tokenPartLimit).toString(tokenRadix)
            + random.int(tokenPartLimit).toString(tokenRadix);
        const tokenedWrites = addWriteToken(effect.writes, token);
        const deadline = this.effectDeadline();
        let isSent = false;
        let isAnswerLost = false;
        for (let backoffMs = firstBackoffMs;; backoffMs *= backoffFactor) {
            try {
                const result = await this.performOnce(effect, () => {
                    isSent = true;
                    return platform.transact(tokenedWrites);
                });
                if (result.kind === "committed") {
                    return CommitOutcome.Committed;
                }
                return isAnswerLost ? await this.resolveLostAnswer(effect, token) : CommitOutcome.Conflict;
            }
            catch (err) {
                isAnswerLost = isSent;
                metrics.count("celerywind_store_lost_answers_total");
                if (!await this.backOff(backoffMs, deadline)) {
                    if (isSent) {
                        return CommitOutcome.Unknown;
                    }
                    throw err;
                }
            }
        }
    }

    /**
     * Determines, when a retry after a lost answer met a conflict, whether the conflict is with the earlier attempt
     * of the same transaction.
     */
    private async resolveLostAnswer(effect: CommitEffect, token: string): Promise<CommitOutcome> {
        this.options.log.write(Severity.Info, EventId.StoreAnswerLost, { key: effect.writes[0]?.key });
        for (const write of effect.writes) {
            const row = await this.performWithRetries(effect, () => this.options.platform.get(write.key));
            switch (writeOutcomeOf(write, row, token)) {
                case WriteOutcome.Applied:
                    return CommitOutcome.Committed;
                case WriteOutcome.NotApplied:
                    return CommitOutcome.Conflict;
                case WriteOutcome.Undetermined:
                    break;
            }
        }
        return CommitOutcome.Unknown;
    }

    private async performOnce<T>(effect: StoreEffect, call: () => Promise<T>): Promise<T> {
        const { timer, metrics, callTimeoutMs = 2500 } = this.options;
        if (!this.breaker.tryAcquire()) {
            metrics.count("celerywind_store_refused_total", { reason: "breaker-open" });
            throw new StoreBusyError(
                "platform is not responding (circuit breaker open); the call was not sent, retry later",
            );
        }
        await this.rateLimiter.acquire(effect.priority);
        metrics.count("celerywind_store_calls_total", { kind: effect.kind });
        try {
            const value = await withTimeout(timer, callTimeoutMs, call(), createTimeoutError);
            this.recordSuccess();
            return value;
        }
        catch (err) {
            this.recordFailure();
            throw err;
        }
    }

    private recordSuccess(): void {
        if (this.breaker.state !== CircuitState.Closed) {
            this.options.log.write(Severity.Info, EventId.StoreRecovered);
        }
        this.breaker.recordSuccess();
    }

    private recordFailure(): void {
        const stateBefore = this.breaker.state;
        this.breaker.recordFailure();
        this.options.metrics.count("celerywind_store_failures_total");
        if (stateBefore === CircuitState.Closed && this.breaker.state === CircuitState.Open) {
            this.options.log.write(Severity.Warn, EventId.StoreUnavailable);
        }
    }

    private async backOffOrThrow(backoffMs: number, deadline: number, err: unknown): Promise<void> {
        if (!await this.backOff(backoffMs, deadline)) {
            throw err;
        }
    }

    private async backOff(backoffMs: number, deadline: number): Promise<boolean> {
        const { timer, random } = this.options;
        const waitMs = backoffMs * (1 + random.fraction());
        if (timer.now() + waitMs > deadline || this.breaker.state !== CircuitState.Closed) {
            return false;
        }
        await sleep(timer, waitMs);
        return true;
    }

    private effectDeadline(): number {
        return this.options.timer.now() + (this.options.effectTimeoutMs ?? 6000);
    }
}

function createTimeoutError(): Error {
    return new PlatformError("platform did not answer within the call timeout; check its state");
}
