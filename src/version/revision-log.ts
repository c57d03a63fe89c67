/**
 * The revision log in the table service: a head row with the newest revision, and one immutable row per revision. A
 * change is accepted by one transaction that moves the head from N-1 to N, so of two concurrent changes exactly one
 * is accepted as revision N.
 */
import {
    commit,
    CommitOutcome,
    getObject,
    getRow,
    putObject,
    putWrite,
    type Row,
    scanRows,
    type StoreFlow,
    StorePriority,
} from "../process/store.js";
import {
    applyChange,
    type Change,
    type ConfigurationState,
    deserializeState,
    type SerializedState,
    serializeState,
} from "./state.js";

const headKey = "lists/head";
const snapshotKey = "lists/snapshot";
const revisionPrefix = "lists/rev/";
const revisionDigits = 12;
const revisionPageSize = 200;

/** Number of revisions between two snapshots. */
export const revisionsPerSnapshot = 100;

interface Head {
    readonly revision: number;
}

/** Result of proposing a change. */
export type Proposal =
    | { readonly kind: ProposalKind.Accepted; readonly state: ConfigurationState }
    | { readonly kind: ProposalKind.Lost; readonly state: ConfigurationState }
    | { readonly kind: ProposalKind.Unknown; readonly state: ConfigurationState };

/** Outcome of a proposed change. */
export enum ProposalKind {
    /** It was accepted as the newest revision. */
    Accepted = "accepted",
    /** Another change was accepted as this revision; `state` includes it. */
    Lost = "lost",
    /** The store did not confirm the transaction, which may have been applied; read again before proposing again. */
    Unknown = "unknown",
}

/** Proposes `change` as the revision that follows `state`. */
export function* propose(state: ConfigurationState, change: Change): StoreFlow<Proposal> {
    const head = yield* getRow(headKey, StorePriority.Lists);
    if (revisionOf(head) !== state.revision) {
        return { kind: ProposalKind.Lost, state: yield* catchUp(state) };
    }
    const next = applyChange(state, change);
    const outcome = yield* commit([
        putWrite(headKey, head, { revision: next.revision } satisfies Head),
        putWrite(revisionKey(next.revision), undefined, change),
    ], StorePriority.Lists);
    switch (outcome) {
        case CommitOutcome.Committed:
            return { kind: ProposalKind.Accepted, state: next };
        case CommitOutcome.Conflict:
            return { kind: ProposalKind.Lost, state: yield* catchUp(state) };
        case CommitOutcome.Unknown:
            return { kind: ProposalKind.Unknown, state };
    }
}

/** Advances `state` to the head of the log, starting from a snapshot when it is far behind. */
export function* catchUp(state: ConfigurationState): StoreFlow<ConfigurationState> {
    const head = yield* getRow(headKey, StorePriority.Lists);
    const target = revisionOf(head);
    let current = state;
    if (target - current.revision > revisionsPerSnapshot) {
        current = yield* loadSnapshot(current);
    }
    while (current.revision < target) {
        const previousRevision = current.revision;
        current = yield* applyNextPage(current);
        if (current.revision === previousRevision) {
            return current;
        }
    }
    return current;
}

/** Stores a snapshot when the last one is far enough behind `state`; entries may run it concurrently. */
export function* saveSnapshot(state: ConfigurationState): StoreFlow<boolean> {
    const row = yield* getRow(snapshotKey, StorePriority.Background);
    if (state.revision - revisionOf(row) < revisionsPerSnapshot) {
        return false;
    }
    const body = Buffer.from(JSON.stringify(serializeState(state)));
    yield* putObject(snapshotObjectKey(state.revision), body, StorePriority.Background);
    const outcome = yield* commit(
        [putWrite(snapshotKey, row, { revision: state.revision } satisfies Head)],
        StorePriority.Background,
    );
    return outcome === CommitOutcome.Committed;
}

function* loadSnapshot(state: ConfigurationState): StoreFlow<ConfigurationState> {
    const row = yield* getRow(snapshotKey, StorePriority.Lists);
    const revision = revisionOf(row);
    if (revision <= state.revision) {
        return state;
    }
    const body = yield* getObject(snapshotObjectKey(revision), StorePriority.Lists);
    return body === undefined ? state : deserializeState(JSON.parse(body.toString()) as SerializedState);
}

function* applyNextPage(state: ConfigurationState): StoreFlow<ConfigurationState> {
    const rows = yield* scanRows({
        prefix: revisionPrefix,
        after: revisionKey(state.revision),
        limit: revisionPageSize,
        priority: StorePriority.Lists,
    });
    return rows.reduce(applyRow, state);
}

function applyRow(state: ConfigurationState, row: Row): ConfigurationState {
    return row.key === revisionKey(state.revision + 1) ? applyChange(state, row.value as Change) : state;
}

function revisionOf(row: Row | undefined): number {
    return row === undefined ? 0 : (row.value as Head).revision;
}

function revisionKey(revision: number): string {
    return revisionPrefix + String(revision).padStart(revisionDigits, "0");
}

function snapshotObjectKey(revision: number): string {
    return `lists/snapshot-${revision}`;
}
