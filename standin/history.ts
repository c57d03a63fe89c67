/** The history of a run, as callers and workers recorded it, and the invariants checked against it. */
import type { Lists } from "../src/version/schema.js";
import type { RunRecord } from "./worker.js";

/** Outcome of a request as observed by its caller. */
export enum CallOutcome {
    Answered = "answered",
    NotRun = "not-run",
    Unknown = "unknown",
    /** The connection failed, or the response could not be parsed. */
    Broken = "broken",
}

/** A request as observed by its caller. */
export interface CallRecord {
    readonly id: string;
    readonly team: string;
    readonly queue: string;
    readonly outcome: CallOutcome;
    readonly durationMs: number;
    /** False if the response was incomplete or echoed another request. */
    readonly isAnswerCorrect: boolean;
    readonly reason?: string;
}

/** A job as observed by its submitter. */
export interface JobRecord {
    readonly id: string;
    readonly team: string;
    readonly queue: string;
    /** State at the last poll; undefined if it could not be read. */
    state: string | undefined;
    isResultCorrect: boolean;
}

/** Period during which a VM must receive no new work; monotonic times in milliseconds. */
export interface DrainPeriod {
    readonly from: number;
    /** Infinity while the VM is still draining. */
    readonly until: number;
}

/** Everything recorded during a run, as input to `checkHistory`. */
export interface History {
    readonly lists: Lists;
    readonly calls: readonly CallRecord[];
    readonly jobs: readonly JobRecord[];
    readonly runs: readonly (RunRecord & { readonly worker: string })[];
    /** Drain period of each VM that was drained, by VM id. */
    readonly drains: ReadonlyMap<string, DrainPeriod>;
    /** Lowest number of available VMs observed in each pool, minus the pool's availability budget. */
    readonly minBudgetMargins: ReadonlyMap<string, number>;
    readonly revisionReverts: number;
    /** Number of times an entry accepted a key after the allowed time since its withdrawal. */
    readonly withdrawnKeyUses: number;
}

/** An invariant and the number of its violations. */
export interface InvariantCheck {
    readonly invariant: string;
    readonly violations: number;
}

/** Grace period after the start of a drain, in which starting work is not a violation. */
const drainGraceMs = 3000;
const unfinishedStates = ["waiting", "running", undefined];

/** Counts the violations of every invariant. */
export function checkHistory(history: History): readonly InvariantCheck[] {
    return [
        { invariant: "a non-idempotent request runs at most once", violations: countDuplicateRuns(history) },
        {
            invariant: 'a request reported as "not run" never ran',
            violations: countFalseNotRunOutcomes(history),
        },
        {
            invariant: "every answer is complete and belongs to its request",
            violations: countIncorrectAnswers(history),
        },
        { invariant: "no team exceeds its concurrency limit", violations: countTeamsOverLimit(history) },
        { invariant: "every accepted job ends", violations: countUnfinishedJobs(history) },
        {
            invariant: "a draining worker receives no new work",
            violations: countStartsWhileDraining(history),
        },
        { invariant: "every pool keeps its availability budget", violations: countPoolsBelowBudget(history) },
        { invariant: "an accepted revision never reverts", violations: history.revisionReverts },
        { invariant: "a withdrawn key is rejected", violations: history.withdrawnKeyUses },
    ];
}

function countDuplicateRuns({ lists, runs }: History): number {
    const nonIdempotentRuns = runs.filter(run => lists.queues[run.queue]?.idempotent === false);
    const counts = new Map<string, number>();
    nonIdempotentRuns.forEach(run => {
        const id = run.isTask ? run.id.split(".")[0]! : run.id;
        counts.set(id, (counts.get(id) ?? 0) + 1);
    });
    return [...counts.values()].filter(count => count > 1).length;
}

function countFalseNotRunOutcomes({ calls, runs }: History): number {
    const startedIds = new Set(runs.map(run => run.id));
    return calls.filter(call => call.outcome === CallOutcome.NotRun && startedIds.has(call.id)).length;
}

function countIncorrectAnswers({ calls, jobs }: History): number {
    const broken = calls.filter(call => call.outcome === CallOutcome.Broken || !call.isAnswerCorrect).length;
    return broken + jobs.filter(job => job.state === "done" && !job.isResultCorrect).length;
}

/** Highest number of concurrent runs of each team. */
export function peakConcurrencyByTeam(runs: readonly RunRecord[]): ReadonlyMap<string, number> {
    const transitions = runs.flatMap(run => [
        { team: run.team, at: run.startedAt, delta: 1 },
        { team: run.team, at: run.endedAt ?? Infinity, delta: -1 },
    ]);
    transitions.sort((a, b) => a.at - b.at || a.delta - b.delta);
    const running = new Map<string, number>();
    const peaks = new Map<string, number>();
    for (const { team, delta } of transitions) {
        const count = (running.get(team) ?? 0) + delta;
        running.set(team, count);
        peaks.set(team, Math.max(peaks.get(team) ?? 0, count));
    }
    return peaks;
}

function countTeamsOverLimit({ lists, runs }: History): number {
    return [...peakConcurrencyByTeam(runs)].filter(([team, peak]) => {
        const plan = lists.plans[lists.teams[team]?.plan ?? ""];
        return peak > (plan?.limit ?? 0);
    }).length;
}

function countUnfinishedJobs({ jobs }: History): number {
    return jobs.filter(job => unfinishedStates.includes(job.state)).length;
}

function countStartsWhileDraining({ runs, drains }: History): number {
    return runs.filter(run => {
        const drain = drains.get(run.worker);
        return drain !== undefined && run.startedAt > drain.from + drainGraceMs
            && run.startedAt < drain.until;
    }).length;
}

function countPoolsBelowBudget({ minBudgetMargins }: History): number {
    return [...minBudgetMargins.values()].filter(margin => margin < 0).length;
}
