/** API keys: their text form, their hashes, and the check of a key presented with a request. */
import { createHash, randomBytes, timingSafeEqual } from "node:crypto";
import type { ConfigurationState, KeyRecord } from "./state.js";

const idBytes = 6;
const secretBytes = 24;
const keyPattern = /^cw_([0-9a-f]{12})_([0-9a-f]{48})$/g;

/** A new key: the text, which is shown to the operator once, and the record, which is stored. */
export interface NewKey {
    readonly text: string;
    readonly record: KeyRecord;
}

/** Creates a random key for a client account; `givenAt` is in milliseconds since the epoch. */
export function createKey(team: string, givenAt: number): NewKey {
    const id = randomBytes(idBytes).toString("hex");
    const secret = randomBytes(secretBytes).toString("hex");
    return { text: `cw_${id}_${secret}`, record: { id, team, hash: hashSecret(secret), givenAt } };
}

/** Result of checking a key. */
export enum KeyCheck {
    Valid = "valid",
    Malformed = "malformed",
    Unknown = "unknown",
    Withdrawn = "withdrawn",
}

/** Result of checking a key, with its client account when the key is valid. */
export type CheckedKey =
    | { readonly check: KeyCheck.Valid; readonly id: string; readonly team: string }
    | { readonly check: Exclude<KeyCheck, KeyCheck.Valid>; readonly id?: string };

/**
 * Checks the text of a key against the configuration in force and the withdrawals that are not stored yet. The hash is
 * compared in constant time, also when the id is unknown.
 */
export function checkKey(state: ConfigurationState, pending: ReadonlySet<string>, text: string): CheckedKey {
    const [match] = text.matchAll(keyPattern);
    if (match === undefined) {
        return { check: KeyCheck.Malformed };
    }
    const [, id = "", secret = ""] = match;
    const record = state.keys.get(id);
    const isSecretCorrect = timingSafeEqual(
        Buffer.from(hashSecret(secret), "hex"),
        Buffer.from(record?.hash ?? hashSecret(""), "hex"),
    );
    if (state.withdrawn.has(id) || pending.has(id)) {
        return { check: KeyCheck.Withdrawn, id };
    }
    if (record === undefined || !isSecretCorrect) {
        return { check: KeyCheck.Unknown, id };
    }
    return { check: KeyCheck.Valid, id, team: record.team };
}

function hashSecret(secret: string): string {
    return createHash("sha256").update(secret).digest("hex");
}
