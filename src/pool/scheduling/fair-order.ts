/**
 * Orders waiting jobs so that no account takes capacity from others beyond its share.
 *
 * Load pattern: a pool is short of capacity and one or two of many accounts send several times their usual rate. Jobs of an
 * urgency class are served in the order of their accounts' excess; accounts within their share compete as without shares, by
 * priority and least remaining work, so that at equal load the order and its value hardly change.
 */
import { addResources, fitsInto, noResources, type Resources } from "../../process/resources.js";
import type { Queue } from "../../version/directory.js";
import { openSteps } from "../open-steps.js";
import type { JobEntry } from "../records.js";
import { compareRankedJobs, type JobEstimate, Urgency } from "../urgency.js";

/** A waiting job with its sort keys. */
export interface OrderedJob {
    readonly entry: JobEntry;
    readonly queue: Queue | undefined;
    readonly estimate: JobEstimate;
    readonly priority: number;
}

/** Input of `orderFairly`. */
export interface FairOrderInput<T extends OrderedJob> {
    /** Jobs in the order without shares. */
    readonly ranked: readonly T[];
    /** Whether a pool has less free capacity than its waiting tasks need. */
    readonly isShort: (pool: string) => boolean;
    /** Excess of an account over its share, by steps; 0 if it is within its share. May rise while jobs are taken. */
    readonly excessOf: (account: string) => number;
}

/** Waiting jobs of one account in one pool, either those within its guaranteed rate or those beyond it. */
interface Lane<T> {
    readonly account: string;
    readonly isShort: boolean;
    readonly jobs: T[];
    next: number;
    excess: number;
}

/**
 * Yields the jobs by urgency class, then by excess of their account where the pool is short, then in the present order. The
 * excess is read again after each job, so that what it was given counts.
 */
export function* orderFairly<T extends OrderedJob>(
    { ranked, isShort, excessOf }: FairOrderInput<T>,
): Generator<T> {
    const accounts = groupByAccount(lanesOf(ranked, isShort), excessOf);
    accounts.sort(compareAccounts);
    for (let account = accounts.shift(); account !== undefined; account = accounts.shift()) {
        const { first } = account;
        yield headOf(first);
        first.next++;
        // The places of the other accounts do not change.
        const lanes = account.lanes.filter(({ next, jobs }) => next < jobs.length);
        if (lanes.length > 0) {
            insertSorted(accounts, rankAccount(lanes, excessOf), compareAccounts);
        }
    }
}

/** The lanes of one account that have jobs left, and the one that goes first. */
interface AccountLanes<T> {
    readonly lanes: readonly Lane<T>[];
    readonly first: Lane<T>;
}

function groupByAccount<T extends OrderedJob>(
    lanes: Iterable<Lane<T>>,
    excessOf: (account: string) => number,
): AccountLanes<T>[] {
    const byAccount = new Map<string, Lane<T>[]>();
    for (const lane of lanes) {
        const others = byAccount.get(lane.account);
        if (others === undefined) {
            byAccount.set(lane.account, [lane]);
        }
        else {
            others.push(lane);
        }
    }
    return [...byAccount.values()].map(lanesOfOne => rankAccount(lanesOfOne, excessOf));
}

function rankAccount<T extends OrderedJob>(
    lanes: readonly Lane<T>[],
    excessOf: (account: string) => number,
): AccountLanes<T> {
    const excess = excessOf(lanes[0]!.account);
    for (const lane of lanes) {
        lane.excess = lane.isShort ? excess : 0;
    }
    return { lanes, first: lanes.reduce((first, lane) => compareLanes(lane, first) < 0 ? lane : first) };
}

function compareAccounts<T extends OrderedJob>(a: AccountLanes<T>, b: AccountLanes<T>): number {
    return compareLanes(a.first, b.first);
}

/** Inserts an item into a sorted array. */
function insertSorted<T>(items: T[], item: T, compare: (a: T, b: T) => number): void {
    let [low, high] = [0, items.length];
    while (low < high) {
        const middle = (low + high) >> 1;
        if (compare(items[middle]!, item) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    items.splice(low, 0, item);
}

/** The jobs of each account in each pool. */
function lanesOf<T extends OrderedJob>(
    ranked: readonly T[],
    isShort: (pool: string) => boolean,
): Iterable<Lane<T>> {
    const lanes = new Map<string, Lane<T>>();
    for (const job of ranked) {
        const pool = job.queue?.pool ?? "";
        const { team } = job.entry.job;
        const key = `${job.estimate.urgency === Urgency.BeyondShare} ${pool} ${team}`;
        const lane = lanes.get(key)
            ?? { account: team, isShort: isShort(pool), jobs: [], next: 0, excess: 0 };
        lanes.set(key, lane);
        lane.jobs.push(job);
    }
    for (const { jobs } of lanes.values()) {
        jobs.sort((a, b) => a.estimate.urgencyByTime - b.estimate.urgencyByTime);
    }
    return lanes.values();
}

function headOf<T>({ jobs, next }: Lane<T>): T {
    return jobs[next]!;
}

function compareLanes<T extends OrderedJob>(a: Lane<T>, b: Lane<T>): number {
    return urgencyIn(a) - urgencyIn(b) || a.excess - b.excess || compareRankedJobs(headOf(a), headOf(b));
}

/** A job beyond the guaranteed rate of an account that uses no more than its share is as urgent as any other. */
function urgencyIn<T extends OrderedJob>(lane: Lane<T>): Urgency {
    const { urgency, urgencyByTime } = headOf(lane).estimate;
    return lane.excess === 0 && lane.isShort ? urgencyByTime : urgency;
}

/** Free resources of all candidates. */
export function sumFree(candidates: readonly { readonly free: Resources }[] = []): Resources {
    return candidates.reduce((sum, { free }) => addResources(sum, free), noResources);
}

/**
 * Pools whose waiting tasks need more than their free resources. The jobs of a pool are looked at only until it is
 * known to be short.
 */
export function shortPools(
    ranked: readonly OrderedJob[],
    freeOf: (pool: string) => Resources,
): ReadonlySet<string> {
    const short = new Set<string>();
    const needs = new Map<string, Resources>();
    const free = new Map<string, Resources>();
    for (const { entry, queue } of ranked) {
        const pool = queue?.pool ?? "";
        if (short.has(pool)) {
            continue;
        }
        for (const { needs: taskNeeds, count } of openSteps(entry)) {
            needs.set(pool, addResources(needs.get(pool) ?? noResources, taskNeeds, count));
        }
        const freeResources = free.get(pool) ?? freeOf(pool);
        free.set(pool, freeResources);
        if (!fitsInto(needs.get(pool) ?? noResources, freeResources)) {
            short.add(pool);
        }
    }
    return short;
}
