/** What callers were told, kept beside what workers ran, and the promises checked against both. */
import type { Lists } from "../src/version/schema.js";
import type { RunRecord } from "./worker.js";

/** How a request ended from the caller's side. */
export enum CallOutcome {
    Answered = "answered",
    NotRun = "not-run",
    Unknown = "unknown",
    /** The connection was cut or the answer was not the caller's own. */
    Broken = "broken",
}

/** One request as its caller saw it. */
export interface CallRecord {
    readonly id: string;
    readonly team: string;
    readonly queue: string;
    readonly outcome: CallOutcome;
    readonly durationMs: number;
    readonly isAnswerCorrect: boolean;
    readonly reason?: string;
}

/** One job as its submitter saw it. */
export interface JobRecord {
    readonly id: string;
    readonly team: string;
    readonly queue: string;
    /** State when last read; undefined when it could not be read. */
    state: string | undefined;
    isResultCorrect: boolean;
}

/** Time for which a VM was to get no new work; monotonic, in milliseconds. */
export interface DrainPeriod {
    readonly from: number;
    readonly until: number;
}

/** Everything recorded during a run. */
export interface History {
    readonly lists: Lists;
    readonly calls: readonly CallRecord[];
    readonly jobs: readonly JobRecord[];
    readonly runs: readonly (RunRecord & { readonly worker: string })[];
    /** When VMs were told to drain, and when they were open again, by VM id. */
    readonly drains: ReadonlyMap<string, DrainPeriod>;
    /** Lowest number of available VMs seen in each pool, less its budget. */
    readonly minBudgetMargins: ReadonlyMap<string, number>;
    readonly revisionReverts: number;
    /** Answers to requests that carried a key withdrawn more than the allowed time before. */
    readonly withdrawnKeyUses: number;
}

/** One invariant and how often it was violated. */
export interface InvariantCheck {
    readonly invariant: string;
    readonly violations: number;
}

const drainGraceMs = 3000;
const unfinishedStates = ["waiting", "running", undefined];

/** Checks every invariant. */
export function checkHistory(history: History): readonly InvariantCheck[] {
    return [
        { invariant: "a non-idempotent request runs at most once", violations: countDuplicateRuns(history) },
        { invariant: 'a refusal saying "not run" is true', violations: countFalseNotRunOutcomes(history) },
        {
            invariant: "every answer is whole and the caller's own",
            violations: countIncorrectAnswers(history),
        },
        { invariant: "no team runs more than its upper limit", violations: countTeamsOverLimit(history) },
        { invariant: "accepted jobs finish", violations: countUnfinishedJobs(history) },
        { invariant: "a leaving worker gets no new work", violations: countStartsWhileDraining(history) },
        { invariant: "every pool keeps its availability budget", violations: countPoolsBelowBudget(history) },
        { invariant: "an accepted revision never reverts", violations: history.revisionReverts },
        { invariant: "a withdrawn key stops working", violations: history.withdrawnKeyUses },
    ];
}

function countDuplicateRuns({ lists, runs }: History): number {
    const exact = runs.filter(run => lists.queues[run.queue]?.idempotent === false);
    const counts = new Map<string, number>();
    exact.forEach(run => {
        const id = run.isTask ? run.id.split(".")[0]! : run.id;
        counts.set(id, (counts.get(id) ?? 0) + 1);
    });
    return [...counts.values()].filter(count => count > 1).length;
}

function countFalseNotRunOutcomes({ calls, runs }: History): number {
    const ran = new Set(runs.map(run => run.id));
    return calls.filter(call => call.outcome === CallOutcome.NotRun && ran.has(call.id)).length;
}

function countIncorrectAnswers({ calls, jobs }: History): number {
    const broken = calls.filter(call => call.outcome === CallOutcome.Broken || !call.isAnswerCorrect).length;
    return broken + jobs.filter(job => job.state === "done" && !job.isResultCorrect).length;
}

/** Highest number of runs that overlapped, for each team. */
export function peakConcurrencyByTeam(runs: readonly RunRecord[]): ReadonlyMap<string, number> {
    const edges = runs.flatMap(run => [
        { team: run.team, at: run.startedAt, by: 1 },
        { team: run.team, at: run.endedAt ?? Infinity, by: -1 },
    ]);
    edges.sort((a, b) => a.at - b.at || a.by - b.by);
    const running = new Map<string, number>();
    const peaks = new Map<string, number>();
    for (const { team, by } of edges) {
        const now = (running.get(team) ?? 0) + by;
        running.set(team, now);
        peaks.set(team, Math.max(peaks.get(team) ?? 0, now));
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

function countPoolsBelowBudget({ minBudgetMargins: spareBudget }: History): number {
    return [...spareBudget.values()].filter(spare => spare < 0).length;
}
