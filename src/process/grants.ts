/**
 * Upper limits across the fleet. A team's limit is split into grants, one a holder, all in one row; an entry starts
 * work only within its own grant, so no message is needed a request and the limit holds while the store is down.
 *
 * Safety: the sum of `weightUnder(limit)` over all holders plus the quarantine never exceeds the limit at the time
 * of a take. Only the holder lowers its own grant; the grant of an ended incarnation moves to quarantine instead.
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

/** A holder's grant, and the limit that was in force when the holder last confirmed it. */
export interface Grant {
    readonly n: number;
    readonly limit: number;
    /** Work that was running when the grant was lowered below it; it counts until it has ended. */
    readonly busy?: number;
}

/** Value of a team's grant row. */
export interface GrantRow {
    /** Grants by incarnation. */
    readonly holders: Readonly<Record<string, Grant>>;
    /** Grants of ended incarnations whose work may still be running. */
    readonly quarantine: Readonly<Record<string, Grant>>;
}

/** A row in which nobody holds anything. */
export const emptyGrantRow: GrantRow = { holders: {}, quarantine: {} };

/** Scales a grant down to a lower limit; a higher limit leaves it as it is. */
export function usableAmount(grant: Grant | undefined, limit: number): number {
    if (grant === undefined) {
        return 0;
    }
    return grant.limit <= limit ? grant.n : Math.floor(grant.n * limit / grant.limit);
}

/** Most that a holder can count as its own under any limit up to `limit`, given what it last confirmed. */
function reservedUnder({ n, limit: confirmed, busy = 0 }: Grant, limit: number): number {
    const weight = confirmed >= limit ? n : Math.ceil(n * limit / Math.max(1, confirmed));
    return Math.max(weight, busy);
}

/** How much of the limit nobody holds. Negative after the limit was lowered, until the holders have scaled down. */
export function unallocatedOf(row: GrantRow, limit: number): number {
    const grants = [...Object.values(row.holders), ...Object.values(row.quarantine)];
    return limit - grants.reduce((sum, grant) => sum + reservedUnder(grant, limit), 0);
}

/** An entry that can hold grants. */
export interface GrantHolder {
    readonly vm: string;
    readonly incarnation: string;
}

/** What one entry knows when it decides about one team's grants. */
export interface GrantInput {
    readonly team: string;
    readonly row: GrantRow;
    /** This entry's incarnation. */
    readonly self: string;
    /** Live entries, this one included. */
    readonly members: readonly GrantHolder[];
    /** Whether to take this entry's base although another entry should hand it out. */
    readonly claimsOwnBase: boolean;
    /** The team's upper limit in force here. */
    readonly limit: number;
    /** Most that ran and waited here at once, lately. */
    readonly demand: number;
    /** Work of the team that runs here now. */
    readonly running: number;
    /** The same for all entries together, this one included. */
    readonly fleetDemand: number;
    /** Tasks that run here and are covered by the grant of an ended incarnation. */
    readonly adoptedTaskCount: (incarnation: string) => number;
    readonly hasEnded: (incarnation: string) => boolean;
    /** Whether a quarantined grant has been observed for the whole quarantine time. */
    readonly isQuarantineOver: (incarnation: string) => boolean;
}

const headroomFactor = 1.25;
const releaseThreshold = 0.1;

/** The row as this entry wants it, or the very same object when nothing should change. */
export function decideGrants(input: GrantInput): GrantRow {
    const swept = updateQuarantine(input);
    const confirmed = confirmLimit(swept, input);
    const adopted = takeOverQuarantined(confirmed, input);
    const based = allocateBases(adopted, input);
    return recordBusy(resizeGrant(based, input), input);
}

/** Keeps count of work that still runs above a lowered grant, so that nobody takes its place before it has ended. */
function recordBusy(row: GrantRow, { self, running }: GrantInput): GrantRow {
    const mine = row.holders[self];
    if (mine === undefined) {
        return row;
    }
    const isOver = running > mine.n;
    const isNoted = mine.busy !== undefined && mine.busy >= running;
    if (isOver === (mine.busy !== undefined) && (!isOver || isNoted)) {
        return row;
    }
    const { n, limit } = mine;
    return withGrant(row, self, isOver ? { n, limit, busy: running } : { n, limit });
}

function updateQuarantine({ row, self, hasEnded, isQuarantineOver }: GrantInput): GrantRow {
    const gone = Object.keys(row.holders).filter(holder => holder !== self && hasEnded(holder));
    const released = Object.keys(row.quarantine).filter(holder => isQuarantineOver(holder));
    if (gone.length === 0 && released.length === 0) {
        return row;
    }
    const holders = { ...row.holders };
    const quarantine = { ...row.quarantine };
    released.forEach(holder => delete quarantine[holder]);
    for (const holder of gone) {
        const grant = holders[holder]!;
        delete holders[holder];
        if (grant.n > 0) {
            quarantine[holder] = grant;
        }
    }
    return { holders, quarantine };
}

function confirmLimit(row: GrantRow, { self, limit }: GrantInput): GrantRow {
    const mine = row.holders[self];
    if (mine === undefined || mine.limit === limit) {
        return row;
    }
    return withGrant(row, self, { n: usableAmount(mine, limit), limit });
}

/** Moves the part of a quarantined grant that covers tasks adopted here to this entry. */
function takeOverQuarantined(row: GrantRow, { self, limit, adoptedTaskCount }: GrantInput): GrantRow {
    let next = row;
    for (const [ended, grant] of Object.entries(row.quarantine)) {
        const moved = Math.min(adoptedTaskCount(ended), usableAmount(grant, limit));
        const mine = next.holders[self] ?? { n: 0, limit };
        if (moved > 0 && mine.limit === limit) {
            const quarantine = {
                ...next.quarantine,
                [ended]: { n: usableAmount(grant, limit) - moved, limit },
            };
            next = withGrant({ ...next, quarantine }, self, { n: mine.n + moved, limit });
        }
    }
    return next;
}

/** Gives each entry that holds less than its base the rest of it, as far as the limit reaches. */
function allocateBases(row: GrantRow, input: GrantInput): GrantRow {
    const { team, self, members, limit, claimsOwnBase } = input;
    const home = responsibleFor(team, members.map(member => member.vm));
    const isHome = members.some(member => member.incarnation === self && member.vm === home);
    const entitled = members.filter(member => isHome || (claimsOwnBase && member.incarnation === self));
    let next = row;
    for (const { vm, incarnation } of entitled) {
        const held = next.holders[incarnation] ?? { n: 0, limit };
        const missing = baseAllocationOf(input, vm) - held.n;
        const given = Math.min(missing, unallocatedOf(next, limit));
        if (given > 0 && held.limit === limit) {
            next = withGrant(next, incarnation, { n: held.n + given, limit });
        }
    }
    return next;
}

/** Grows towards the demand, leaving the bases of the others untouched, or returns what is no longer needed. */
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
    const spare = unallocatedOf(row, limit) - reserved;
    if (target > held && spare > 0) {
        return withGrant(row, self, { n: held + Math.min(spare, target - held), limit });
    }
    const isWorthwhile = held - target > Math.max(1, held * releaseThreshold);
    const isUnwanted = held > 0 && target === 0;
    if (isWorthwhile || isUnwanted) {
        return withGrant(row, self, { n: target, limit });
    }
    return spare < 0 ? returnOne(row, input, held) : row;
}

/** Returns one above the own base, round by round, while an entry lacks its base and nothing is free. */
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
 * What an entry holds whatever its demand: an even part of half the limit, so that the limit can be used while the
 * store is down. Of a limit below the number of entries, a few home entries hold one each.
 */
function baseAllocationOf({ team, members, limit }: GrantInput, vm: string): number {
    if (limit < members.length) {
        return rankedFor(team, members.map(member => member.vm), limit).includes(vm) ? 1 : 0;
    }
    return Math.floor(limit / (2 * Math.max(1, members.length)));
}

/** How much this entry should hold: its base, and of the rest what its demand calls for. */
export function targetAllocationOf(input: GrantInput): number {
    const { self, members, limit, demand, fleetDemand } = input;
    const vm = members.find(member => member.incarnation === self)?.vm;
    const base = vm === undefined ? 0 : baseAllocationOf(input, vm);
    if (limit < members.length) {
        return base;
    }
    const wanted = Math.ceil(demand * headroomFactor);
    const contended = Math.ceil((limit - members.length * base) * demand / Math.max(1, fleetDemand));
    const rest = fleetDemand * headroomFactor > limit ? contended : Math.max(0, wanted - base);
    return Math.min(limit, base + rest);
}

/** Reads the grant rows of all teams. */
export function* readGrantRows(): StoreFlow<ReadonlyMap<string, Row>> {
    const rows = yield* scanAllRows({ prefix: grantRowPrefix, priority: StorePriority.Claim });
    return new Map(rows.map(row => [row.key.slice(grantRowPrefix.length), row]));
}

/** Commits a team's grant row. */
export function* commitGrantRow(
    team: string,
    read: Row | undefined,
    value: GrantRow,
): StoreFlow<CommitOutcome> {
    return yield* commit([putWrite(grantRowPrefix + team, read, value)], StorePriority.Claim);
}
