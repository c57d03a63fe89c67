/** Member rows in the store: which entries are running, and the URLs at which their peers reach them. */
import { z } from "zod";
import { amountSchema, counterSchema } from "../process/bounds.js";
import type { RowRefusals } from "../process/row-refusals.js";
import type { RowKey, StoredRow } from "../process/rows.js";
import { tables } from "./ownership.js";

const maxNameChars = 300;
const name = z.string().max(maxNameChars);

const memberSchema = z.object({
    incarnation: name.min(1),
    url: name.refine(url => URL.canParse(url) && /^wss?:/.test(url), { error: "no URL of a WebSocket" }),
    /** See `RankedEntry`. */
    strength: amountSchema.optional(),
    /** Availability zone; absent in rows of earlier versions. */
    zone: name.optional(),
    /**
     * Newest version of the store that the process had read when it registered; absent in rows of earlier releases. The version of
     * the row says less, since the store may carry out a registration after its process has ended.
     */
    storeVersion: counterSchema.optional(),
});
const peerRow = z.tuple([z.string(), memberSchema]);
/** Longest member row, in characters. */
const maxRowChars = 4096;

/** A member: one process on an entry VM. */
export type MemberRow = z.output<typeof memberSchema>;

/** Part of the cluster table that holds the member rows. */
export const memberPart = "members";

/** Key of an entry's member row. */
export function memberKey(entry: string): RowKey {
    return { table: tables.cluster, part: memberPart, key: entry };
}

/**
 * Decodes a member row; undefined if it was removed, or cannot be used, which is reported. In a row of an earlier release, its own
 * version stands for `storeVersion`.
 */
export function decodeMember(stored: StoredRow, refusals: RowRefusals): MemberRow | undefined {
    const member = stored.isRemoved ? undefined : refusals.decode(memberSchema, stored, maxRowChars);
    return member && { storeVersion: stored.version, ...member };
}

/** The members with their entries in the answer of a peer, without those that cannot be used. */
export function decodePeerMembers(body: unknown): readonly (readonly [string, MemberRow])[] {
    const rows: readonly unknown[] = Array.isArray(body) ? body : [];
    return rows.flatMap(row => {
        const { data } = peerRow.safeParse(row);
        return data === undefined ? [] : [data];
    });
}
