/** Follows the list of workers, holds each of them, and applies what they tell of their runs. */
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import { sleep } from "../process/timer.js";
import { type RunRecord, StartStatus, StopReason } from "./job-registry.js";
import { type HoldResult, type Roster, StartRefusal } from "./ports.js";
import { reconcile } from "./reconcile.js";
import type { RunDesk } from "./run-desk.js";
import { retryDelayMs, targetOf, type TenureContext } from "./tenure-context.js";
import type { WorkerState } from "./worker-book.js";

/** Period of reading the list of workers while VMs join a pool, in milliseconds. */
const quickRosterMs = 150;
/** Longest wait for the storing of ends before a worker is held again, in milliseconds; its leases need renewal. */
const longestAckWaitMs = 800;
/** Pause in placing work on a worker that has runs nobody wants, in milliseconds. */
const unwantedAvoidMs = 300;
/** Pause between holds of a worker that is no longer listed, in milliseconds. */
const unlistedRetryMs = 600;

/** A worker whose ends have been applied up to a position. */
export interface SeenEnds {
    readonly worker: WorkerState;
    readonly born: number;
    readonly seen: number;
}

/** Watches the workers of a tenure. */
export class WorkerWatch {
    private readonly held = new Set<string>();
    private readonly storedWaiters: (() => void)[] = [];
    private quickUntil = -Infinity;

    constructor(private readonly ctx: TenureContext, private readonly desk: RunDesk) {}

    /** Begins to follow the list and to hold the workers on it. */
    start(): void {
        void this.followRoster();
    }

    /** Reads the list of workers more often for a while, since VMs are about to join a pool. */
    expectWorkers(forMs: number): void {
        this.quickUntil = Math.max(this.quickUntil, this.ctx.options.timer.now() + forMs);
    }

    /** Asks a worker for its runs beside the hold that waits there. */
    look(worker: WorkerState): void {
        const { options, fence } = this.ctx;
        const sentAt = options.timer.now();
        const order = { fence, acknowledged: worker.acknowledged, waitMs: 0 };
        void options.calls.hold(targetOf(worker), order).then(result => {
            if (result.kind === "held" && this.ctx.isActive) {
                this.noteHold(worker, result, sentAt);
            }
        });
    }

    /** Workers with ends that are applied and not yet acknowledged. */
    endsSeen(): readonly SeenEnds[] {
        return [...this.ctx.workers.workers.values()]
            .filter(worker => worker.seen > worker.acknowledged)
            .map(worker => ({ worker, born: worker.born, seen: worker.seen }));
    }

    /** Lets workers forget ends that are stored now. */
    acknowledge(stored: readonly SeenEnds[]): void {
        for (const { worker, born, seen } of stored) {
            if (worker.born === born) {
                worker.acknowledged = Math.max(worker.acknowledged, seen);
            }
        }
        this.storedWaiters.splice(0).forEach(resolve => resolve());
    }

    private async followRoster(): Promise<void> {
        const { roster, timer, times, log, calls } = this.ctx.options;
        let isLost = false;
        while (this.ctx.isActive) {
            try {
                const list = await roster.list();
                this.adoptRoster(list);
                calls.retain(
                    new Set([...this.ctx.workers.workers.values()].map(({ listed }) => listed.address)),
                );
                if (isLost) {
                    log.write(Severity.Info, EventId.RosterRegained, { workers: list.length });
                }
                isLost = false;
            }
            catch (err) {
                if (!isLost) {
                    log.write(Severity.Warn, EventId.RosterLost, { err: messageOf(err) });
                }
                isLost = true;
            }
            await sleep(timer, timer.now() < this.quickUntil ? quickRosterMs : times.rosterMs);
        }
    }

    private adoptRoster(list: Awaited<ReturnType<Roster["list"]>>): void {
        if (!this.ctx.isActive) {
            return;
        }
        const spare = this.ctx.options.directory()?.pools;
        const fresh = this.ctx.workers.update(
            list.filter(worker => spare?.get(worker.pool)?.isSpare !== true),
        );
        for (const worker of fresh) {
            this.ctx.options.log.write(Severity.Info, EventId.WorkerListed, {
                worker: worker.id,
                pool: worker.listed.pool,
                born: worker.born,
            });
        }
        for (const worker of this.ctx.workers.workers.values()) {
            if (!this.held.has(worker.id) && worker.listed.address !== "") {
                this.held.add(worker.id);
                void this.holdWorker(worker);
            }
            if (worker.listed.isDraining) {
                this.evacuate(worker);
            }
        }
        this.ctx.requestRound();
    }

    /** Moves services away from a draining worker; other runs finish there while they can. */
    private evacuate(worker: WorkerState): void {
        for (const record of worker.runs.values()) {
            if (record.step.isService && record.stopReason === undefined) {
                this.desk.stop(record, StopReason.WorkerDraining);
            }
        }
    }

    private async holdWorker(worker: WorkerState): Promise<void> {
        const { timer } = this.ctx.options;
        while (this.ctx.isActive && (worker.isListed || worker.runs.size > 0)) {
            if (!this.ctx.mayOrder()) {
                await sleep(timer, retryDelayMs);
                continue;
            }
            const wasReachable = worker.isReachable;
            const result = await this.holdOnce(worker);
            if (!this.ctx.isActive) {
                return;
            }
            if (result.kind !== "held") {
                this.noteHoldFailure(worker, wasReachable, result);
                await sleep(timer, worker.isListed ? retryDelayMs : unlistedRetryMs);
            }
            await this.untilAcknowledged(worker);
        }
        this.held.delete(worker.id);
        if (worker.runs.size === 0 && !worker.isListed) {
            this.ctx.workers.forget(worker);
        }
    }

    /** Waits until a worker's ends are stored; a hold before then would return the same ends at once. */
    private async untilAcknowledged(worker: WorkerState): Promise<void> {
        const { timer } = this.ctx.options;
        const deadline = timer.now() + longestAckWaitMs;
        while (this.ctx.isActive && worker.seen > worker.acknowledged && timer.now() < deadline) {
            await Promise.race([
                new Promise<void>(resolve => this.storedWaiters.push(resolve)),
                sleep(timer, longestAckWaitMs),
            ]);
        }
    }

    private async holdOnce(worker: WorkerState): Promise<HoldResult> {
        const { timer, times, calls, metrics } = this.ctx.options;
        const sentAt = timer.now();
        // A worker that does not answer gets no new lease, or its runs could never be called lost.
        const renews = worker.isHeld && worker.isReachable && worker.lease.isClockKnown;
        const result = await calls.hold(targetOf(worker), {
            fence: this.ctx.fence,
            acknowledged: worker.acknowledged,
            waitMs: renews ? times.holdWaitMs : 0,
            ...(renews && { leaseUntil: worker.lease.grant(times.leaseMs, sentAt) }),
        });
        metrics.count("celerywind_holds_total", { result: result.kind });
        if (result.kind === "held" && this.ctx.isActive) {
            this.noteHold(worker, result, sentAt);
        }
        return result;
    }

    private noteHold(
        worker: WorkerState,
        result: Extract<HoldResult, { kind: "held" }>,
        sentAt: number,
    ): void {
        const now = this.ctx.options.timer.now();
        if (result.born < worker.born) {
            return;
        }
        this.ctx.workers.noteLife(worker, result.born);
        worker.lease.recordClock(result.clockMs, now);
        worker.heldAt = now;
        const gained = !worker.isHeld || !worker.isReachable;
        worker.isHeld = true;
        worker.isReachable = true;
        const found = reconcile({
            born: worker.born,
            running: result.running,
            ended: result.ended.filter(end => end.position > worker.seen),
            seen: worker.seen,
            sentAt,
            records: worker.runs,
        });
        for (const { record, report } of found.running) {
            this.noteRunning(record, report.percent, report.reading, now);
        }
        found.ended.forEach(end => this.desk.end(end));
        found.lateSuccesses.forEach(end => this.desk.endLate(worker, end));
        // Only now: a batch that is taken between two of these ends must not acknowledge both.
        worker.seen = Math.max(worker.seen, found.seen);
        if (found.unwanted.length > 0) {
            // They take room that is not accounted for until they have stopped.
            worker.avoidUntil = Math.max(worker.avoidUntil, now + unwantedAvoidMs);
        }
        for (const { task, run } of found.unwanted) {
            void this.ctx.options.calls.stop(targetOf(worker), task, run, this.ctx.fence);
        }
        if (gained || worker.seen > worker.acknowledged) {
            this.ctx.requestRound();
        }
    }

    private noteRunning(record: RunRecord, percent: number, reading: number, now: number): void {
        record.lastReading = reading;
        if (record.start !== StartStatus.Confirmed) {
            record.start = StartStatus.Confirmed;
            record.startedAt = now;
            record.progressedAt = now;
        }
        if (percent > record.progressPercent) {
            record.progressPercent = percent;
            record.progressedAt = now;
        }
        this.desk.sendStop(record);
    }

    private noteHoldFailure(
        worker: WorkerState,
        wasReachable: boolean,
        failure: Exclude<HoldResult, { kind: "held" }>,
    ): void {
        const { reason } = failure;
        worker.isReachable = false;
        if (failure.kind === "refused" && failure.reason === StartRefusal.Fenced) {
            void this.ctx.confirm();
        }
        if (wasReachable) {
            // The worker of a VM that is being emptied goes when the VM is moved or serviced.
            const severity = worker.isCordoned ? Severity.Info : Severity.Warn;
            this.ctx.options.log.write(severity, EventId.WorkerUnreachable, {
                isLeaving: worker.isCordoned,
                worker: worker.id,
                reason,
                runs: worker.runs.size,
                leasesEndInMs: Math.round(worker.lease.latestEnd() - this.ctx.options.timer.now()),
            });
        }
    }
}
