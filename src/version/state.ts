/**
 * The configuration: lists, keys and evacuated zones as of one revision. A state is immutable; applying an accepted
 * change creates the next state.
 */
import { type EvacuatedZones, withoutZone, withZone, type ZoneEvacuation } from "./evacuated-zones.js";
import { emptyLists, type Lists } from "./schema.js";

/** Kind of the change that a revision made. */
export enum ChangeKind {
    Lists = "lists",
    KeyIssued = "key-given",
    KeyWithdrawn = "key-withdrawn",
    ZoneEvacuated = "zone-evacuated",
    ZoneRestored = "zone-restored",
}

/** A key as stored, with the hash of its secret instead of the secret. */
export interface KeyRecord {
    readonly id: string;
    readonly team: string;
    /** SHA-256 of the secret, in hexadecimal. */
    readonly hash: string;
    /** Wall-clock time at which the key was issued, in milliseconds since the epoch. */
    readonly givenAt: number;
}

/** A change to the configuration. */
export type Change =
    | { readonly kind: ChangeKind.Lists; readonly lists: Lists }
    | { readonly kind: ChangeKind.KeyIssued; readonly key: KeyRecord }
    | { readonly kind: ChangeKind.KeyWithdrawn; readonly id: string }
    | {
        readonly kind: ChangeKind.ZoneEvacuated;
        readonly zone: string;
        /** Wall-clock time of the order, in milliseconds since the epoch. */
        readonly at: number;
    }
    | { readonly kind: ChangeKind.ZoneRestored; readonly zone: string };

/** Lists, keys and evacuated zones as of `revision`. */
export interface ConfigurationState {
    readonly revision: number;
    /** Revision that last changed the lists. */
    readonly listsRevision: number;
    readonly lists: Lists;
    readonly keys: ReadonlyMap<string, KeyRecord>;
    /** Ids of all keys that were withdrawn. */
    readonly withdrawn: ReadonlySet<string>;
    /** Zones in which nothing may be started. */
    readonly evacuatedZones: EvacuatedZones;
}

/** The state before the first change. */
export const initialState: ConfigurationState = {
    revision: 0,
    listsRevision: 0,
    lists: emptyLists,
    keys: new Map(),
    withdrawn: new Set(),
    evacuatedZones: new Map(),
};

/** Applies a change and returns the next state. */
export function applyChange(state: ConfigurationState, change: Change): ConfigurationState {
    const next = { ...state, revision: state.revision + 1 };
    switch (change.kind) {
        case ChangeKind.Lists:
            return { ...next, listsRevision: next.revision, lists: change.lists };
        case ChangeKind.KeyIssued:
            return { ...next, keys: new Map(state.keys).set(change.key.id, change.key) };
        case ChangeKind.KeyWithdrawn:
            return applyWithdrawal(next, change.id);
        case ChangeKind.ZoneEvacuated: {
            const evacuation = { revision: next.revision, evacuatedAt: change.at };
            return { ...next, evacuatedZones: withZone(state.evacuatedZones, change.zone, evacuation) };
        }
        case ChangeKind.ZoneRestored:
            return { ...next, evacuatedZones: withoutZone(state.evacuatedZones, change.zone) };
    }
}

function applyWithdrawal(state: ConfigurationState, id: string): ConfigurationState {
    const keys = new Map(state.keys);
    keys.delete(id);
    return { ...state, keys, withdrawn: new Set(state.withdrawn).add(id) };
}

/** A state as JSON-compatible data, for snapshots and for messages to peers. */
export interface SerializedState {
    readonly revision: number;
    readonly listsRevision: number;
    readonly lists: Lists;
    readonly keys: readonly KeyRecord[];
    readonly withdrawn: readonly string[];
    /** Absent in snapshots and messages of versions that could not evacuate zones. */
    readonly evacuatedZones?: readonly (readonly [string, ZoneEvacuation])[];
}

export function serializeState(state: ConfigurationState): SerializedState {
    return {
        ...state,
        keys: [...state.keys.values()],
        withdrawn: [...state.withdrawn],
        evacuatedZones: [...state.evacuatedZones],
    };
}

export function deserializeState(data: SerializedState): ConfigurationState {
    return {
        ...data,
        keys: new Map(data.keys.map(key => [key.id, key])),
        withdrawn: new Set(data.withdrawn),
        evacuatedZones: new Map(data.evacuatedZones ?? []),
    };
}
