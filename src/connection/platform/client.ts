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
import { Breaker, BreakerState } from "./breaker.js";
import { CallBudget } from "./budget.js";
import { judge, sealWrites, unsealRow, Verdict } from "./seal.js";

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
const tokenRange = 0x7fffffff;
const radix = 36;

/** Performs store effects against a platform that may be slow, down, or lose its answers. */
export class StoreClient implements Store {
    private readonly breaker: Breaker;
    private readonly budget: CallBudget;

    private constructor(private readonly options: StoreClientOptions) {
        const { timer, random, callsPerSecond = 200 } = options;
        this.breaker = Breaker.create({ now: () => timer.now(), random });
        this.budget = CallBudget.create({ timer, perSecond: callsPerSecond });
    }

    static create(options: StoreClientOptions): StoreClient {
        return new StoreClient(options);
    }

    /** Sets the calls a second this entry may send. */
    setRate(perSecond: number): void {
        this.budget.setRate(perSecond);
    }

    perform(effect: StoreEffect): Promise<unknown> {
        const { platform } = this.options;
        switch (effect.kind) {
            case StoreEffectKind.Get:
                return this.retrying(effect, async () => unsealRow(await platform.get(effect.key)));
            case StoreEffectKind.Scan:
                return this.retrying(effect, async () => {
                    const rows = await platform.scan(effect.prefix, effect.after, effect.limit);
                    return rows.map(row => unsealRow(row));
                });
            case StoreEffectKind.Commit:
                return this.commit(effect);
            case StoreEffectKind.PutObject:
                return this.retrying(effect, () => platform.putObject(effect.key, effect.body));
            case StoreEffectKind.GetObject:
                return this.retrying(effect, () => platform.getObject(effect.key));
            case StoreEffectKind.DeleteObject:
                return this.retrying(effect, () => platform.deleteObject(effect.key));
        }
    }

    private async retrying<T>(effect: StoreEffect, call: () => Promise<T>): Promise<T> {
        const deadline = this.deadline();
        for (let backoff = firstBackoffMs;; backoff *= backoffFactor) {
            try {
                return await this.once(effect, call);
            }
            catch (err) {
                await this.pause(backoff, deadline, err);
            }
        }
    }

    private async commit(effect: CommitEffect): Promise<CommitOutcome> {
        const { platform, random, metrics } = this.options;
        const token = random.int(tokenRange).toString(radix) + random.int(tokenRange).toString(radix);
        const sealed = sealWrites(effect.writes, token);
        const deadline = this.deadline();
        let sent = false;
        let answerLost = false;
        for (let backoff = firstBackoffMs;; backoff *= backoffFactor) {
            try {
                const result = await this.once(effect, () => {
                    sent = true;
                    return platform.transact(sealed);
                });
                if (result.kind === "committed") {
                    return CommitOutcome.Committed;
                }
                return answerLost ? await this.verdict(effect, token) : CommitOutcome.Conflict;
            }
            catch (err) {
                answerLost = sent;
                metrics.count("celerywind_store_lost_answers_total");
                if (!await this.pauseQuietly(backoff, deadline)) {
                    if (sent) {
                        return CommitOutcome.Unknown;
                    }
                    throw err;
                }
            }
        }
    }

    /** Finds out, after a lost answer and a conflict, whether the conflict is with this very transaction. */
    private async verdict(effect: CommitEffect, token: string): Promise<CommitOutcome> {
        this.options.log.write(Severity.Info, EventId.StoreAnswerLost, { key: effect.writes[0]?.key });
        for (const write of effect.writes) {
            const row = await this.retrying(effect, () => this.options.platform.get(write.key));
            switch (judge(write, row, token)) {
                case Verdict.Mine:
                    return CommitOutcome.Committed;
                case Verdict.NotMine:
                    return CommitOutcome.Conflict;
                case Verdict.CannotTell:
                    break;
            }
        }
        return CommitOutcome.Unknown;
    }

    private async once<T>(effect: StoreEffect, call: () => Promise<T>): Promise<T> {
        const { timer, metrics, callTimeoutMs = 2500 } = this.options;
        if (!this.breaker.allows()) {
            metrics.count("celerywind_store_refused_total", { reason: "breaker-open" });
            throw new StoreBusyError("the platform does not answer; the call was held back until it does");
        }
        await this.budget.admit(effect.priority);
        metrics.count("celerywind_store_calls_total", { kind: effect.kind });
        try {
            const value = await withTimeout(timer, callTimeoutMs, call(), lateAnswer);
            this.noteAnswer();
            return value;
        }
        catch (err) {
            this.noteFailure();
            throw err;
        }
    }

    private noteAnswer(): void {
        if (this.breaker.current !== BreakerState.Closed) {
            this.options.log.write(Severity.Info, EventId.StoreRecovered);
        }
        this.breaker.succeeded();
    }

    private noteFailure(): void {
        const before = this.breaker.current;
        this.breaker.failedOnce();
        this.options.metrics.count("celerywind_store_failures_total");
        if (before === BreakerState.Closed && this.breaker.current === BreakerState.Open) {
            this.options.log.write(Severity.Warn, EventId.StoreUnavailable);
        }
    }

    private async pause(backoff: number, deadline: number, err: unknown): Promise<void> {
        if (!await this.pauseQuietly(backoff, deadline)) {
            throw err;
        }
    }

    private async pauseQuietly(backoff: number, deadline: number): Promise<boolean> {
        const { timer, random } = this.options;
        const wait = backoff * (1 + random.fraction());
        if (timer.now() + wait > deadline || this.breaker.current !== BreakerState.Closed) {
            return false;
        }
        await sleep(timer, wait);
        return true;
    }

    private deadline(): number {
        return this.options.timer.now() + (this.options.effectTimeoutMs ?? 6000);
    }
}

function lateAnswer(): Error {
    return new PlatformError("the platform's answer is late; check its state");
}
