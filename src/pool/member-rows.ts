/** Rows of the members: which entries run, and where their peers reach them. */
import { z } from "zod";
import { parseJson } from "../process/json.js";
import type { RowKey, StoredRow } from "../process/rows.js";
import { tables } from "./ownership.js";

const memberSchema = z.object({
    incarnation: z.string(),
    url: z.string(),
    /** See `RankedEntry`. */
    strength: z.number().optional(),
});

/** A member: one process of an entry VM. */
export type MemberRow = z.output<typeof memberSchema>;

/** Part of the cluster table that holds the members. */
export const memberPart = "members";

/** Key of a member's row. */
export function memberKey(entry: string): RowKey {
    return { table: tables.cluster, part: memberPart, key: entry };
}

/** Decodes a member row; undefined when it was removed or is malformed. */
export function decodeMember(stored: StoredRow): MemberRow | undefined {
    if (stored.isRemoved) {
        return undefined;
    }
    const parsed = memberSchema.safeParse(parseJson(stored.value));
    return parsed.success ? parsed.data : undefined;
}
