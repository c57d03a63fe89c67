/** Task that handles callers' calls about jobs: finds queue and team, and runs the flows of job-calls.ts. */
import type { AcceptedJob, JobSpec } from "../job/index.js";
import { type Domain, jobKey, progressKey, refusalKey, type Submitter } from "../pool/index.js";
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import { runFlow } from "../process/flow.js";
import type { Task } from "../process/hub.js";
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import type { Peers } from "../process/peers.js";
import {
    readRow,
    type RowKey,
    type TransactionOutcome,
    TransactionStatus,
} from "../process/rows.js";
import { sleep, type Timer } from "../process/timer.js";
import { type Directory, findQueue, type Queue } from "../version/directory.js";
import {
    cancel,
    type CancelResult,
    findPhase,
    type JobCallEffect,
    type PhaseResult,
    type ReadResult,
    RefusalReason,
    submit,
    type SubmitResult,
} from "./job-calls.js";
import { type RelayedStore, StoreRelay } from "./store-relay.js";

/** Result of finding the queue of a call and checking its key. */
export type QueueLookup =
    /** `subpath` follows the queue's prefix; `team` is empty for a call without valid key to an open queue. */
    | { readonly kind: "queue"; readonly queue: Queue; readonly team: string; readonly subpath: string }
    | { readonly kind: "no-lists" }
    | { readonly kind: "no-queue" }
    | { readonly kind: "bad-key" };

/** Options of `JobCallHandler.create`. */
export interface JobCallHandlerOptions {
    readonly domain: Domain;
    readonly domainName: string;
    readonly store: RelayedStore;
    readonly peers: Peers;
    readonly directory: () => Directory | undefined;
    /** Number of parts of the store that hold the accepted jobs. */
    readonly jobParts: number;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
}

/** Retry delay to suggest to callers while the entry has no lists (the operators' configuration) yet. */
export const noListsRetryMs = 500;
/** Part of a caller's time limit that is reserved for the response to reach it. */
const responseMarginMs = 150;

/** Handles calls about jobs. */
export class JobCallHandler implements Task {
    readonly name = "job-desk";
    private readonly relay: StoreRelay;
    /** Number of calls in progress. */
    activeCount = 0;
    isStopping = false;

    private constructor(private readonly options: JobCallHandlerOptions) {
        this.relay = StoreRelay.create(options);
    }

    static create(options: JobCallHandlerOptions): JobCallHandler {
        return new JobCallHandler(options);
    }

    start(): Promise<void> {
        this.relay.start();
        return Promise.resolve();
    }

    stop(): Promise<void> {
        return Promise.resolve();
    }

    /** Finds a queue by host and path of a call, and checks the caller's key. */
    findQueueByAddress(host: string, path: string, key: string | undefined): QueueLookup {
        const lookup = this.resolveQueue(directory => findQueue(directory, host, path), key);
        return lookup.kind === "queue"
            ? { ...lookup, subpath: path.slice(lookup.queue.pathPrefix.length) }
            : lookup;
    }

    /** Finds a queue by its name, and checks the caller's key. */
    findQueueByName(name: string, key: string | undefined): QueueLookup {
        return this.resolveQueue(({ queues }) => queues.find(queue => queue.name === name), key);
    }

    private resolveQueue(
        selectQueue: (directory: Directory) => Queue | undefined,
        key: string | undefined,
    ): QueueLookup {
        const directory = this.options.directory();
        if (directory === undefined) {
            return { kind: "no-lists" };
        }
        const queue = selectQueue(directory);
        if (queue === undefined) {
            return { kind: "no-queue" };
        }
        const team = key === undefined ? undefined : directory.keys.get(key);
        if (team === undefined && !queue.isOpen) {
            return { kind: "bad-key" };
        }
        return { kind: "queue", queue, team: team ?? "", subpath: "" };
    }

    /** Submits a job and notifies the owner when it is stored. `limitMs` is the caller's time limit. */
    async submit(
        id: string,
        queue: Queue,
        team: string,
        spec: JobSpec,
        limitMs: number,
    ): Promise<SubmitResult> {
        const { timer, domain, log, metrics } = this.options;
        const startedAt = timer.now();
        const job: AcceptedJob = {
            id,
            queue: queue.name,
            team,
            acceptedAtMs: Math.round(timer.wall()),
            spec,
        };
        const result: SubmitResult = this.isStopping
            ? { kind: "refused", reason: RefusalReason.Stopping, retryAfterMs: 0 }
            : await this.runWithDeadline(submit(job, this.options.jobParts), limitMs);
        if (result.kind === "accepted" && !result.isRepeat) {
            domain.ownerClient.notifyAccepted(job);
        }
        const ms = timer.now() - startedAt;
        metrics.count("celerywind_submissions_total", { queue: queue.name, result: result.kind });
        metrics.observe("celerywind_submit_ms", ms);
        log.write(
            result.kind === "accepted" ? Severity.Info : Severity.Warn,
            result.kind === "accepted" ? EventId.JobStored : EventId.JobRefused,
            {
                job: id,
                queue: queue.name,
                team,
                result: result.kind,
                reason: result.kind === "refused" ? result.reason : undefined,
                repeat: result.kind === "accepted" ? result.isRepeat : undefined,
                lists: this.options.directory()?.version,
                storeAgeMs: Math.round(this.options.store.ageMs),
                ms: Math.round(ms),
            },
        );
        return result;
    }

    /** Stores a cancellation and notifies the owner. `limitMs` is the caller's time limit. */
    async cancel(id: string, submitter: Submitter, limitMs: number): Promise<CancelResult> {
        const result = await this.runWithDeadline(cancel(id, submitter, this.options.jobParts), limitMs);
        if (result.kind === "cancelled") {
            this.options.domain.ownerClient.notifyCancelled(id);
        }
        this.options.metrics.count("celerywind_cancellations_total", { result: result.kind });
        this.options.log.write(Severity.Info, EventId.CancelStored, {
            job: id,
            queue: submitter.queue,
            team: submitter.team,
            result: result.kind,
            reason: result.kind === "refused" ? result.reason : undefined,
            storeAgeMs: Math.round(this.options.store.ageMs),
        });
        return result;
    }

    /** Finds the phase of a job. */
    async phaseOf(id: string, limitMs: number): Promise<PhaseResult> {
        const result = await this.runWithDeadline(findPhase(id), limitMs);
        this.options.metrics.count("celerywind_phase_questions_total", { result: result.kind });
        if (result.kind !== "phase") {
            this.options.log.write(Severity.Info, EventId.JobUnknown, { job: id, result: result.kind });
        }
        return result;
    }

    /** Number of jobs of a queue that have not begun; undefined without a valid reply from the owner. */
    pendingOf(queue: Queue): Promise<number | undefined> {
        return this.options.domain.ownerClient.pendingOf(queue.name);
    }

    private async runWithDeadline<T>(
        flow: Generator<JobCallEffect, T, unknown>,
        limitMs: number,
    ): Promise<T> {
        const { timer } = this.options;
        const deadline = timer.now() + limitMs - responseMarginMs;
        this.activeCount++;
        try {
            return await runFlow(flow, effect => this.perform(effect, deadline));
        }
        finally {
            this.activeCount--;
        }
    }

    private async perform(effect: JobCallEffect, deadline: number): Promise<unknown> {
        const { timer, domain, domainName } = this.options;
        switch (effect.kind) {
            case "transact":
                return this.resolveByDeadline(this.relay.transactHedged(effect.tx), deadline);
            case "relay":
                return this.resolveByDeadline(this.relay.transactByPeers(effect.tx), deadline);
            case "read-job":
                return this.read(jobKey(effect.id, this.options.jobParts));
            case "read-refusal":
                return this.read(refusalKey(effect.id, this.options.jobParts));
            case "read-progress":
                return this.read(progressKey(domainName, effect.id));
            case "ask-phase":
                return domain.ownerClient.phaseOf(effect.id);
            case "pause":
                await sleep(timer, effect.ms);
                return undefined;
            case "time-left":
                return deadline - timer.now();
        }
    }

    /** Resolves with the outcome, or with `Unknown` if the deadline passes first. */
    private resolveByDeadline(
        transaction: Promise<TransactionOutcome>,
        deadline: number,
    ): Promise<TransactionOutcome> {
        const { timer } = this.options;
        return new Promise((resolve, reject) => {
            const cancelTimer = timer.after(
                Math.max(0, deadline - timer.now()),
                () => resolve({ kind: TransactionStatus.Unknown, reason: "deadline" }),
            );
            transaction.then(resolve, reject).finally(cancelTimer);
        });
    }

    private async read(key: RowKey): Promise<ReadResult> {
        try {
            return { row: await readRow(this.options.store, key) };
        }
        catch (err) {
            this.options.log.write(Severity.Info, EventId.StoreUnavailable, {
                key: key.key,
                err: messageOf(err),
            });
            return undefined;
        }
    }
}
