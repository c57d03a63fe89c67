/** Member rows in the store: which entries are running, and the URLs at which their peers reach them. */
import { z } from "zod";
import { parseJson } from "../process/json.js";
import type { RowKey, StoredRow } from "../process/rows.js";
import { tables } from "./ownership.js";

const memberSchema = z.object({
    incarnation: z.string(),
    url: z.string(),
    /** See `RankedEntry`. */
    strength: z.number().optional(),
    /** Availability zone; absent in rows of earlier versions. */
    zone: z.string().optional(),
});

/** A member: one process on an entry VM. */
export type MemberRow = z.output<typeof memberSchema>;

/** Part of the cluster table that holds the member rows. */
export const memberPart = "members";

/** Key of an entry's member row. */
export function memberKey(entry: string): RowKey {
    return { table: tables.cluster, part: memberPart, key: entry };
}

/** Decodes a member row; undefined if it was removed or is malformed. */
export function decodeMember(stored: StoredRow): MemberRow | undefined {
    if (stored.isRemoved) {
        return undefined;
    }
    const parsed = memberSchema.safeParse(parseJson(stored.value));
    return parsed.success ? parsed.data : undefined;
}
