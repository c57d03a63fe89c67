/**
 * The store client: deadlines, a request budget with priorities, a circuit breaker, and the resolution of lost
 * answers by the token that every written row carries.
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
    /** Reads and writes a second this entry may send. */
    readonly callsPerSecond?: number;
    /** Longest wait for one answer, in milliseconds. */
    readonly callTimeoutMs?: number;
    /** Longest time spent on one effect with all its attempts, in milliseconds. */
    readonly effectTimeoutMs?: number;
}

type CommitEffect = Extract<StoreEffect, { kind: StoreEffectKind.Commit }>;

const firstBackoffMs = 50;
const backoffFactor = 2;
const tokenPartLimit = 0x7fffffff;
const tokenRadix = 36;

/** Performs store effects against a platform that may be slow, down, or lose its answers. */
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

    /** Sets the calls a second this entry may send. */
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
        for (let backoff = firstBackoffMs;; backoff *= backoffFactor) {
            try {
                return await this.performOnce(effect, call);
            }
            catch (err) {
                await this.backOffOrThrow(backoff, deadline, err);
            }
        }
    }

    private async commit(effect: CommitEffect): Promise<CommitOutcome> {
        const { platform, random, metrics } = this.options;
        const token = random.int(tokenPartLimit).toString(tokenRadix)
            + random.int(tokenPartLimit).toString(tokenRadix);
        const sealed = addWriteToken(effect.writes, token);
        const deadline = this.effectDeadline();
        let sent = false;
        let answerLost = false;
        for (let backoff = firstBackoffMs;; backoff *= backoffFactor) {
            try {
                const result = await this.performOnce(effect, () => {
                    sent = true;
                    return platform.transact(sealed);
                });
                if (result.kind === "committed") {
                    return CommitOutcome.Committed;
                }
                return answerLost ? await this.resolveLostAnswer(effect, token) : CommitOutcome.Conflict;
            }
            catch (err) {
                answerLost = sent;
                metrics.count("celerywind_store_lost_answers_total");
                if (!await this.backOff(backoff, deadline)) {
                    if (sent) {
                        return CommitOutcome.Unknown;
                    }
                    throw err;
                }
            }
        }
    }

    /** Finds out, after a lost answer and a conflict, whether the conflict is with this very transaction. */
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
            throw new StoreBusyError("the platform does not answer; the call was held back until it does");
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
        const before = this.breaker.state;
        this.breaker.recordFailure();
        this.options.metrics.count("celerywind_store_failures_total");
        if (before === CircuitState.Closed && this.breaker.state === CircuitState.Open) {
            this.options.log.write(Severity.Warn, EventId.StoreUnavailable);
        }
    }

    private async backOffOrThrow(backoff: number, deadline: number, err: unknown): Promise<void> {
        if (!await this.backOff(backoff, deadline)) {
            throw err;
        }
    }

    private async backOff(backoff: number, deadline: number): Promise<boolean> {
        const { timer, random } = this.options;
        const wait = backoff * (1 + random.fraction());
        if (timer.now() + wait > deadline || this.breaker.state !== CircuitState.Closed) {
            return false;
        }
        await sleep(timer, wait);
        return true;
    }

    private effectDeadline(): number {
        return this.options.timer.now() + (this.options.effectTimeoutMs ?? 6000);
    }
}

function createTimeoutError(): Error {
    return new PlatformError("the platform's answer is late; check its state");
}
