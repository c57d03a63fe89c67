/**
 * Enforces the concurrency limit of each team across the fleet. The limit is split into grants, one per entry, which
 * are stored in one row per team. An entry starts work only within its own grant, so that a request needs no message to
 * other entries and the limit holds while the store is down.
 *
 * Safety: a grant is raised only as far as the sum of `reservedUnder` over all grants, including those in quarantine,
 * stays within the limit. Only its holder lowers a grant; that of an ended incarnation moves to quarantine instead.
 */
import { rankedFor, responsibleFor } from "./rendezvous.js";
import {
    commit,
    type CommitOutcome,
    putWrite,
    type Row,
    scanAllRows,
    type StoreFlow,
    StorePriority,
} from "./store.js";

const grantRowPrefix = "grant/";

/** Share of a team's limit that one incarnation holds. */
export interface Grant {
    /** Number of requests and tasks that may run at once. */
    readonly n: number;
    /** Team limit in force when the holder last confirmed the grant. */
    readonly limit: number;
    /** Number of running requests and tasks when the grant was lowered below it; reserved until they have ended. */
    readonly busy?: number;
}

/** Value of a team's grant row. */
export interface GrantRow {
    /** Grants by incarnation. */
    readonly holders: Readonly<Record<string, Grant>>;
    /** Grants of ended incarnations whose work may still be running. */
    readonly quarantine: Readonly<Record<string, Grant>>;
}

/** A row without grants. */
export const emptyGrantRow: GrantRow = { holders: {}, quarantine: {} };

/** Amount of a grant usable under a limit: scaled down if the limit is below the confirmed one, otherwise unchanged. */
export function usableAmount(grant: Grant | undefined, limit: number): number {
    if (grant === undefined) {
        return 0;
    }
    return grant.limit <= limit ? grant.n : Math.floor(grant.n * limit / grant.limit);
}

/** Maximum that the holder of a grant may use under any limit up to `limit`, given the limit it last confirmed. */
function reservedUnder({ n, limit: confirmed, busy = 0 }: Grant, limit: number): number {
    const scaled = confirmed >= limit ? n : Math.ceil(n * limit / Math.max(1, confirmed));
    return Math.max(scaled, busy);
}

/** Unallocated part of the limit. It is negative after the limit was lowered, until the holders have scaled down. */
export function unallocatedOf(row: GrantRow, limit: number): number {
    const grants = [...Object.values(row.holders), ...Object.values(row.quarantine)];
    return limit - grants.reduce((sum, grant) => sum + reservedUnder(grant, limit), 0);
}

/** An entry that can hold grants. */
export interface GrantHolder {
    readonly vm: string;
    readonly incarnation: string;
}

/** Inputs of `decideGrants` for one team. */
export interface GrantInput {
    readonly team: string;
    readonly row: GrantRow;
    /** This entry's incarnation. */
    readonly self: string;
    /** Live entries, including this one. */
    readonly members: readonly GrantHolder[];
    /** Whether to allocate this entry's own base, although the team's home entry should do it. */
    readonly claimsOwnBase: boolean;
    /** Limit of the team in force on this entry. */
    readonly limit: number;
    /** Recent peak of running and waiting requests and tasks of the team on this entry. */
    readonly demand: number;
    /** Requests and tasks of the team that currently run on this entry. */
    readonly running: number;
    /** Demand of the team on all entries, including this one. */
    readonly fleetDemand: number;
    /** Number of tasks that run on this entry under the quarantined grant of an ended incarnation. */
    readonly adoptedTaskCount: (incarnation: string) => number;
    readonly hasEnded: (incarnation: string) => boolean;
    /** Whether this entry has observed a quarantined grant for the whole quarantine period. */
    readonly isQuarantineOver: (incarnation: string) => boolean;
}

/** Factor by which the target of a grant exceeds demand. */
const headroomFactor = 1.25;
/** Fraction of a grant by which it must exceed its target before it is lowered. */
const releaseThreshold = 0.1;

/** Returns the row with this entry's changes, or the same object if there are none. */
export function decideGrants(input: GrantInput): GrantRow {
    const quarantined = updateQuarantine(input);
    const confirmed = confirmLimit(quarantined, input);
    const adopted = takeOverQuarantined(confirmed, input);
    const allocated = allocateBases(adopted, input);
    return recordBusy(resizeGrant(allocated, input), input);
}

/** Records the work that runs above a lowered grant, so that its part of the limit is not reused before it ends. */
function recordBusy(row: GrantRow, { self, running }: GrantInput): GrantRow {
    const own = row.holders[self];
    if (own === undefined) {
        return row;
    }
    const isOver = running > own.n;
    const isRecorded = own.busy !== undefined && own.busy >= running;
    if (isOver === (own.busy !== undefined) && (!isOver || isRecorded)) {
        return row;
    }
    const { n, limit } = own;
    return withGrant(row, self, isOver ? { n, limit, busy: running } : { n, limit });
}

function updateQuarantine({ row, self, hasEnded, isQuarantineOver }: GrantInput): GrantRow {
    const ended = Object.keys(row.holders).filter(holder => holder !== self && hasEnded(holder));
    const released = Object.keys(row.quarantine).filter(holder => isQuarantineOver(holder));
    if (ended.length === 0 && released.length === 0) {
        return row;
    }
    const holders = { ...row.holders };
    const quarantine = { ...row.quarantine };
    released.forEach(holder => delete quarantine[holder]);
    for (const holder of ended) {
        const grant = holders[holder]!;
        delete holders[holder];
        if (grant.n > 0) {
            quarantine[holder] = grant;
        }
    }
    return { holders, quarantine };
}

function confirmLimit(row: GrantRow, { self, limit }: GrantInput): GrantRow {
    const own = row.holders[self];
    if (own === undefined || own.limit === limit) {
        return row;
    }
    return withGrant(row, self, { n: usableAmount(own, limit), limit });
}

/** Moves to this entry the part of each quarantined grant that covers tasks that this entry has adopted. */
function takeOverQuarantined(row: GrantRow, { self, limit, adoptedTaskCount }: GrantInput): GrantRow {
    let next = row;
    for (const [ended, grant] of Object.entries(row.quarantine)) {
        const moved = Math.min(adoptedTaskCount(ended), usableAmount(grant, limit));
        const own = next.holders[self] ?? { n: 0, limit };
        if (moved > 0 && own.limit === limit) {
            const quarantine = {
                ...next.quarantine,
                [ended]: { n: usableAmount(grant, limit) - moved, limit },
            };
            next = withGrant({ ...next, quarantine }, self, { n: own.n + moved, limit });
        }
    }
    return next;
}

/**
 * Raises each entry below its base to that base, as far as the limit allows. This is done by the team's home entry, and
 * by any entry for itself if `claimsOwnBase` is set.
 */
function allocateBases(row: GrantRow, input: GrantInput): GrantRow {
    const { team, self, members, limit, claimsOwnBase } = input;
    const home = responsibleFor(team, members.map(member => member.vm));
    const isHome = members.some(member => member.incarnation === self && member.vm === home);
    const recipients = members.filter(member => isHome || (claimsOwnBase && member.incarnation === self));
    let next = row;
    for (const { vm, incarnation } of recipients) {
        const grant = next.holders[incarnation] ?? { n: 0, limit };
        const missing = baseAllocationOf(input, vm) - grant.n;
        const added = Math.min(missing, unallocatedOf(next, limit));
        if (added > 0 && grant.limit === limit) {
            next = withGrant(next, incarnation, { n: grant.n + added, limit });
        }
    }
    return next;
}

/** Raises this entry's grant towards its demand, without using the bases of the others, or returns an unused part. */
function resizeGrant(row: GrantRow, input: GrantInput): GrantRow {
    const { self, limit, members } = input;
    const held = row.holders[self]?.n ?? 0;
    const target = targetAllocationOf(input);
    const reserved = members
        .filter(member => member.incarnation !== self)
        .reduce(
            (sum, { vm, incarnation }) =>
                sum + Math.max(0, baseAllocationOf(input, vm) - (row.holders[incarnation]?.n ?? 0)),
            0,
        );
    const available = unallocatedOf(row, limit) - reserved;
    if (target > held && available > 0) {
        return withGrant(row, self, { n: held + Math.min(available, target - held), limit });
    }
    const exceedsThreshold = held - target > Math.max(1, held * releaseThreshold);
    const isUnused = held > 0 && target === 0;
    if (exceedsThreshold || isUnused) {
        return withGrant(row, self, { n: target, limit });
    }
    return available < 0 ? returnOne(row, input, held) : row;
}

/**
 * Lowers this entry's grant by one, but not below its base. Called in each round in which another entry is below its
 * base and the unallocated part of the limit cannot raise it.
 */
function returnOne(row: GrantRow, input: GrantInput, held: number): GrantRow {
    const { self, limit, members } = input;
    const vm = members.find(member => member.incarnation === self)?.vm;
    const isAboveBase = vm !== undefined && held > baseAllocationOf(input, vm);
    return isAboveBase ? withGrant(row, self, { n: held - 1, limit }) : row;
}

function withGrant(row: GrantRow, self: string, grant: Grant): GrantRow {
    return { ...row, holders: { ...row.holders, [self]: grant } };
}

/**
 * Base of an entry's grant, independent of demand: an equal share of half the limit, so that each entry can run work
 * while the store is down. A limit below the number of entries is split among that many home entries, with one each.
 */
function baseAllocationOf({ team, members, limit }: GrantInput, vm: string): number {
    if (limit < members.length) {
        return rankedFor(team, members.map(member => member.vm), limit).includes(vm) ? 1 : 0;
    }
    return Math.floor(limit / (2 * Math.max(1, members.length)));
}

/**
 * Target of this entry's grant: its base plus a part of the rest of the limit. While the demand of the fleet with
 * headroom exceeds the limit, that part is proportional to this entry's share of the demand.
 */
export function targetAllocationOf(input: GrantInput): number {
    const { self, members, limit, demand, fleetDemand } = input;
    const vm = members.find(member => member.incarnation === self)?.vm;
    const base = vm === undefined ? 0 : baseAllocationOf(input, vm);
    if (limit < members.length) {
        return base;
    }
    const needed = Math.ceil(demand * headroomFactor);
    const proportional = Math.ceil((limit - members.length * base) * demand / Math.max(1, fleetDemand));
    const rest = fleetDemand * headroomFactor > limit ? proportional : Math.max(0, needed - base);
    return Math.min(limit, base + rest);
}

/** Reads the grant rows of all teams, by team. */
export function* readGrantRows(): StoreFlow<ReadonlyMap<string, Row>> {
    const rows = yield* scanAllRows({ prefix: grantRowPrefix, priority: StorePriority.Claim });
    return new Map(rows.map(row => [row.key.slice(grantRowPrefix.length), row]));
}

/** Commits a team's grant row if it is unchanged since `read`, which is undefined for an absent row. */
export function* commitGrantRow(
    team: string,
    read: Row | undefined,
    value: GrantRow,
): StoreFlow<CommitOutcome> {
    return yield* commit([putWrite(grantRowPrefix + team, read, value)], StorePriority.Claim);
}
