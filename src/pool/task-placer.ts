/** Claims the runs that the plan of a round starts. */
import { EventId, Severity } from "../process/events.js";
import type { Directory } from "../version/directory.js";
import type { EvacuationLog } from "./evacuation-log.js";
import { planStarts } from "./plan-starts.js";
import type { RunDispatcher } from "./run-dispatcher.js";
import { LateWorkGate } from "./scheduling/late-work.js";
import type { TenureContext } from "./tenure-context.js";

/** Places waiting tasks on workers. */
export class TaskPlacer {
    private isStopped = false;
    /** Unix time in milliseconds until which the jobs of the backlog were accepted; undefined if none is left. */
    private backlogUntilMs: number | undefined;

    constructor(
        private readonly ctx: TenureContext,
        private readonly dispatcher: RunDispatcher,
        private readonly evacuationLog: EvacuationLog,
    ) {}

    /** Places no more tasks, because the domain is being handed over. */
    stop(): void {
        this.isStopped = true;
    }

    /** Records that the backlog of the takeover is loaded: the jobs that were accepted until now. */
    recordLoaded(): void {
        this.backlogUntilMs = this.ctx.clock.wallMs();
    }

    /** The gate of late work is kept only for as long as the tenure has jobs of that backlog. */
    private lateWorkGate(directory: Directory): LateWorkGate | undefined {
        const { options, jobs, durations, clock } = this.ctx;
        const { backlogUntilMs } = this;
        if (!options.scheduling.demandHandover || backlogUntilMs === undefined) {
            return undefined;
        }
        const hasBacklog = [...jobs.activeEntries].some(({ job, isService }) =>
            !isService && job.acceptedAtMs <= backlogUntilMs
        );
        if (!hasBacklog) {
            this.backlogUntilMs = undefined;
            return undefined;
        }
        return LateWorkGate.create({ jobs, directory, durations, wallMs: clock.wallMs(), backlogUntilMs });
    }

    /** Plans at most `limit` starts and claims their runs, to be started once they are stored. */
    placeTasks(limit: number): void {
        const { options, jobs, workers, durations, advice, clock, fairShares, outliers, reservations } =
            this.ctx;
        const { attemptLimits, knownLists } = this.ctx;
        const directory = options.directory();
        if (directory === undefined || this.isStopped || limit <= 0) {
            return;
        }
        const { timer, log } = options;
        const now = timer.now();
        this.evacuationLog.report(workers.byId.values(), jobs);
        fairShares?.advance(jobs.runs.values(), workers.byId.values());
        knownLists.record(directory);
        attemptLimits.enforce(directory);
        const placements = planStarts({
            jobs,
            workers: workers.byId.values(),
            directory,
            durations,
            ticketsFor: (entry, occurrence, step) => advice.ticketsFor(entry, occurrence, step),
            isZoneEvacuated: zone => options.zones.isEvacuated(zone),
            ...(outliers !== undefined && { limitOf: worker => outliers.limitOf(worker) }),
            ...(fairShares !== undefined && { fairShares }),
            ...(reservations !== undefined && { reservations }),
            now,
            wallMs: clock.wallMs(),
            limit,
            isPacking: options.scheduling.vmPacking,
            limitOfTeam: team => knownLists.limitOf(team),
            lateWork: this.lateWorkGate(directory),
        });
        for (const { entry, taskIndex: at, worker, ticket } of placements) {
            const record = jobs.claim(entry, at, worker.id, worker.startedAtMs, now);
            this.dispatcher.enqueueStart(record);
            if (ticket !== undefined) {
                record.ticket = ticket;
            }
            log.write(Severity.Info, EventId.RunClaimed, {
                task: record.name,
                run: record.run,
                worker: worker.id,
                heldAgeMs: Math.round(now - worker.lastHoldAt),
                freeCpu: worker.listed.capacity.cpu - worker.reserved.cpu,
                waiting: jobs.activeEntries.size,
                lists: directory.version,
            });
        }
    }
}
