/**
 * Shares of accounts at the owner of a domain: their usage, their token buckets, and the order that follows from them. Both
 * are a `StatePart`, so that a change of owner resets no account's usage and fills no bucket.
 */
import { EventId, Severity } from "../../process/events.js";
import { parseJson } from "../../process/json.js";
import type { Log } from "../../process/log.js";
import { noResources, type Resources } from "../../process/resources.js";
import type { Timer } from "../../process/timer.js";
import type { Directory } from "../../version/directory.js";
import { maxPartBytes, type StatePart } from "../owner-state.js";
import type { JobEntry, RunRecord } from "../records.js";
import { TeamShareLimiter } from "../team-share-limiter.js";
import type { WorkerState } from "../worker-registry.js";
import { type AccountAmounts, AccountUsage, dominantShare } from "./account-usage.js";
import { type OrderedJob, orderFairly, shortPools } from "./fair-order.js";

/**
 * Ratio of an account's usage to its share up to which it competes as without shares. Accounts with few jobs differ by as much
 * by chance: a ratio of 1.25 cost 0.4 % of the value at equal load, and 2 kept floods from the others by less.
 */
const tolerance = 1.5;
/** Ratio between two steps of excess. */
const excessRatio = 1.5;
/** Digits after the decimal point in the stored state. */
const storedDigits = 5;

/** Options of `FairShares.create`. */
export interface FairSharesOptions {
    readonly timer: Timer;
    readonly log: Log;
    readonly directory: () => Directory | undefined;
    readonly limiter: TeamShareLimiter;
}

/** Input of `FairShares.order`. */
export interface FairPlanInput<T extends OrderedJob> {
    /** Jobs in the order without shares. */
    readonly ranked: readonly T[];
    /** Free resources of a pool's schedulable workers at the start of the plan. */
    readonly freeOf: (pool: string) => Resources;
    /** Resources that the plan has given to an account so far. */
    readonly placedOf: (account: string) => Resources;
}

/** Weighted fair shares of accounts. */
export class FairShares implements StatePart {
    readonly name = "fair-shares";
    private readonly usage = AccountUsage.create();
    private capacity = noResources;
    private lastText: string | undefined;
    /** Buckets of the previous owner with the monotonic time at which they were stored. */
    private inherited: { readonly at: number; readonly buckets: AccountAmounts } | undefined;

    private constructor(private readonly options: FairSharesOptions) {}

    static create(options: FairSharesOptions): FairShares {
        return new FairShares(options);
    }

    /** Accounts for what ran until now. */
    advance(runs: Iterable<RunRecord>, workers: Iterable<WorkerState>): void {
        this.capacity = capacityOf(workers);
        this.usage.advance(this.options.timer.now(), runningByAccount(runs), this.capacity);
    }

    /** Yields the jobs in the order in which they may take capacity. */
    order<T extends OrderedJob>({ ranked, freeOf, placedOf }: FairPlanInput<T>): Iterable<T> {
        const short = shortPools(ranked, freeOf);
        const teams = this.options.directory()?.teams;
        const weightOf = (account: string): number => teams?.get(account)?.weight ?? 0;
        const fairUsage = this.usagePerWeight(ranked, weightOf);
        const excessOf = (account: string): number => {
            const weight = weightOf(account);
            const placed = dominantShare(placedOf(account), this.capacity);
            return weight <= 0 ? 0 : excess(this.usage.usageOf(account, placed) / weight / fairUsage);
        };
        return orderFairly({ ranked, isShort: pool => short.has(pool), excessOf });
    }

    /**
     * Marks the jobs of earlier owners that exceed their account's share, and takes the tokens of all that were accepted, in
     * the order of acceptance. `wallMs` is the Unix time by which their times of acceptance were corrected. Nothing stored tells
     * which jobs exceeded the share, but the stored jobs themselves do: final ones are kept for minutes.
     */
    chargeInherited(entries: Iterable<JobEntry>, wallMs: number): void {
        const { limiter, timer, log } = this.options;
        const now = timer.now();
        const accepted = [...entries].sort((a, b) => a.job.acceptedAtMs - b.job.acceptedAtMs);
        let stored = this.inherited;
        for (const entry of accepted) {
            const at = now - (wallMs - entry.job.acceptedAtMs);
            if (stored !== undefined && at >= stored.at) {
                limiter.restore(stored.buckets, stored.at);
                stored = undefined;
            }
            entry.exceedsTeamShare = limiter.chargeJob(entry.job.team, at);
        }
        if (stored !== undefined) {
            limiter.restore(stored.buckets, stored.at);
        }
        log.write(Severity.Info, EventId.SharesInherited, {
            accounts: this.usage.accounts.size,
            isRestored: this.inherited !== undefined,
            jobs: accepted.length,
            beyondShare: accepted.filter(({ exceedsTeamShare }) => exceedsTeamShare).length,
        });
        this.inherited = undefined;
    }

    /** Text of both; with more accounts than a row can hold, those that have used most, and the emptiest buckets. */
    encode(): string | undefined {
        const { usage, running } = this.usage.state;
        const lists = [
            roundAll(usage).toSorted((a, b) => b[1] - a[1]),
            roundAll(running).toSorted((a, b) => b[1] - a[1]),
            roundAll(this.options.limiter.amounts()).toSorted((a, b) => a[1] - b[1]),
        ];
        let count = Math.max(...lists.map(({ length }) => length));
        let text = JSON.stringify(lists);
        while (Buffer.byteLength(text) > maxPartBytes) {
            count = Math.floor(count / 2);
            text = JSON.stringify(lists.map(list => list.slice(0, count)));
        }
        if (text === this.lastText) {
            return undefined;
        }
        this.lastText = text;
        return text;
    }

    restore(text: string, ageMs: number): boolean {
        const content = parseJson(text);
        const [usage, running, buckets] = Array.isArray(content) ? content as unknown[] : [];
        if (!isAmounts(usage) || !isAmounts(running) || !isAmounts(buckets)) {
            return false;
        }
        const at = this.options.timer.now() - ageMs;
        this.usage.restore({ usage, running }, at);
        this.inherited = { at, buckets };
        return true;
    }

    /** Usage per weight of all accounts with a weight that use capacity or wait for it; never 0. */
    private usagePerWeight(ranked: readonly OrderedJob[], weightOf: (account: string) => number): number {
        const accounts = new Set([...this.usage.accounts, ...ranked.map(({ entry }) => entry.job.team)]);
        let used = 0;
        let weights = 0;
        for (const account of accounts) {
            const weight = weightOf(account);
            used += weight > 0 ? this.usage.usageOf(account) : 0;
            weights += weight;
        }
        return Math.max(Number.MIN_VALUE, used / Math.max(Number.MIN_VALUE, weights));
    }
}

function excess(ratio: number): number {
    return ratio <= tolerance ? 0 : 1 + Math.floor(Math.log(ratio / tolerance) / Math.log(excessRatio));
}

function capacityOf(workers: Iterable<WorkerState>): Resources {
    const sum = { cpu: 0, memory: 0, accelerators: 0 };
    for (const { isListed, listed: { capacity } } of workers) {
        if (isListed) {
            sum.cpu += capacity.cpu;
            sum.memory += capacity.memory;
            sum.accelerators += capacity.accelerators;
        }
    }
    return sum;
}

/** Needs of the runs by account. Services are left out: they would put all short jobs of their accounts last for good. */
function runningByAccount(runs: Iterable<RunRecord>): ReadonlyMap<string, Resources> {
    const byAccount = new Map<string, { cpu: number; memory: number; accelerators: number }>();
    for (const { entry, step } of runs) {
        if (!step.isService) {
            const { team } = entry.job;
            const sum = byAccount.get(team) ?? { cpu: 0, memory: 0, accelerators: 0 };
            byAccount.set(team, sum);
            sum.cpu += step.isBestEffort ? 0 : step.needs.cpu;
            sum.memory += step.needs.memory;
            sum.accelerators += step.needs.accelerators;
        }
    }
    return byAccount;
}

function roundAll(amounts: AccountAmounts): AccountAmounts {
    return amounts.map(([account, amount]) => [account, Number(amount.toFixed(storedDigits))]);
}

function isAmounts(value: unknown): value is AccountAmounts {
    return Array.isArray(value)
        && value.every((amount: unknown) =>
            Array.isArray(amount) && typeof amount[0] === "string" && Number.isFinite(amount[1])
        );
}
