/**
 * Each written row carries a unique token and those of the writes before it, so that after a lost answer a client
 * can tell from the row whether its own write took effect.
 */
import { type Row, type Write, WriteKind } from "../../process/store.js";

/** A stored value with the tokens of its last writers, newest first. */
export interface TokenedValue {
    readonly value: unknown;
    readonly tokens: readonly string[];
}

/** What a row says about a write whose answer was lost. */
export enum WriteOutcome {
    Applied = "mine",
    NotApplied = "not-mine",
    Undetermined = "cannot-tell",
}

/** Tokens kept in a row. */
export const maxTokensPerRow = 6;

/** Wraps the values of a transaction with its token. */
export function addWriteToken(writes: readonly Write[], token: string): readonly Write[] {
    return writes.map(write => write.kind === WriteKind.Remove ? write : addPutToken(write, token));
}

function addPutToken(write: Extract<Write, { kind: WriteKind.Put }>, token: string): Write {
    const { kind, key, ifVersion, value, tokens = [] } = write;
    const sealed: TokenedValue = { value, tokens: [token, ...tokens].slice(0, maxTokensPerRow) };
    return { kind, key, ifVersion, value: sealed };
}

/** Unwraps the value of a row. */
export function stripTokens(row: Row | undefined): Row | undefined {
    if (row === undefined) {
        return undefined;
    }
    const { value, tokens } = row.value as TokenedValue;
    return { key: row.key, version: row.version, value, tokens };
}

/** Judges from the row as stored now whether `write`, sent with `token`, took effect. */
export function writeOutcomeOf(write: Write, stored: Row | undefined, token: string): WriteOutcome {
    if (stored === undefined) {
        return WriteOutcome.Undetermined;
    }
    const { tokens } = stored.value as TokenedValue;
    if (tokens.includes(token)) {
        return WriteOutcome.Applied;
    }
    const writesSince = stored.version - write.ifVersion;
    const allSeen = writesSince >= 0 && writesSince <= tokens.length;
    return write.kind === WriteKind.Put && allSeen ? WriteOutcome.NotApplied : WriteOutcome.Undetermined;
}
