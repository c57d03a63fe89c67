/**
 * Write tokens. Each written row carries a unique token and those of the preceding writes, so that after a lost answer
 * a client can determine from the row whether its own write took effect.
 */
import { type Row, type Write, WriteKind } from "../../process/store.js";

/** A stored value with the tokens of the latest writes to its row, newest first. */
export interface TokenedValue {
    readonly value: unknown;
    readonly tokens: readonly string[];
}

/** Outcome of a write whose answer was lost, as far as the row shows it. */
export enum WriteOutcome {
    Applied = "mine",
    NotApplied = "not-mine",
    /** The row is absent, the write is a removal, or so many writes followed that the token may have been dropped. */
    Undetermined = "cannot-tell",
}

/** Maximum number of tokens retained in a row. */
export const maxTokensPerRow = 6;

/** Adds the token of a transaction to the values that it puts. */
export function addWriteToken(writes: readonly Write[], token: string): readonly Write[] {
    return writes.map(write => write.kind === WriteKind.Remove ? write : addPutToken(write, token));
}

function addPutToken(write: Extract<Write, { kind: WriteKind.Put }>, token: string): Write {
    const { kind, key, ifVersion, value, tokens = [] } = write;
    const tokened: TokenedValue = { value, tokens: [token, ...tokens].slice(0, maxTokensPerRow) };
    return { kind, key, ifVersion, value: tokened };
}

/** Separates the value of a stored row from its tokens. */
export function stripTokens(row: Row | undefined): Row | undefined {
    if (row === undefined) {
        return undefined;
    }
    const { value, tokens } = row.value as TokenedValue;
    return { key: row.key, version: row.version, value, tokens };
}

/** Determines from the currently stored row whether `write`, sent with `token`, took effect. */
export function writeOutcomeOf(write: Write, stored: Row | undefined, token: string): WriteOutcome {
    if (stored === undefined) {
        return WriteOutcome.Undetermined;
    }
    const { tokens } = stored.value as TokenedValue;
    if (tokens.includes(token)) {
        return WriteOutcome.Applied;
    }
    const writesSince = stored.version - write.ifVersion;
    const hasAllTokensSince = writesSince >= 0 && writesSince <= tokens.length;
    return write.kind === WriteKind.Put && hasAllTokensSince
        ? WriteOutcome.NotApplied
        : WriteOutcome.Undetermined;
}
