/** Differences between two versions of the lists, for an operator to review before applying them. */
import type { Lists } from "./schema.js";

/** How a field of the lists differs. */
export enum DifferenceKind {
    Added = "added",
    Removed = "removed",
    Changed = "changed",
}

/** One difference, at a path such as `plans.large.limit`; values are JSON text. */
export interface Difference {
    readonly kind: DifferenceKind;
    readonly path: string;
    readonly before?: string;
    readonly after?: string;
}

/** Lists the differences from `before` to `after`, sorted by path. */
export function diffLists(before: Lists, after: Lists): readonly Difference[] {
    const oldFields = flattenFields("", before);
    const newFields = flattenFields("", after);
    const paths = [...new Set([...oldFields.keys(), ...newFields.keys()])].sort();
    return paths.flatMap(path => differenceAt(path, oldFields.get(path), newFields.get(path)));
}

function differenceAt(path: string, before: string | undefined, after: string | undefined): Difference[] {
    if (before === after) {
        return [];
    }
    if (before === undefined) {
        return [{ kind: DifferenceKind.Added, path, after: after! }];
    }
    if (after === undefined) {
        return [{ kind: DifferenceKind.Removed, path, before }];
    }
    return [{ kind: DifferenceKind.Changed, path, before, after }];
}

function flattenFields(prefix: string, value: object): Map<string, string> {
    const flat = new Map<string, string>();
    for (const [name, inner] of Object.entries(value) as [string, unknown][]) {
        const path = prefix === "" ? name : `${prefix}.${name}`;
        if (typeof inner === "object" && inner !== undefined && !Array.isArray(inner)) {
            flattenFields(path, inner as object).forEach((text, innerPath) => flat.set(innerPath, text));
        }
        else {
            flat.set(path, JSON.stringify(inner));
        }
    }
    return flat;
}
