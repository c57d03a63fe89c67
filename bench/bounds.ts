/** Bounds on figures: read from bounds.jsonc and applied to what was measured. */
import { readFile } from "node:fs/promises";
import { z } from "zod";
import { parseJsonc } from "../src/process/jsonc.js";
import type { Figures } from "./measure.js";

const boundSchema = z.union([
    z.strictObject({ atMost: z.number(), target: z.string() }),
    z.strictObject({ atLeast: z.number(), target: z.string() }),
    z.strictObject({ atLeastOf: z.string(), target: z.string() }),
    z.strictObject({ atMostOf: z.string(), target: z.string() }),
]);

const boundsSchema = z.record(z.string(), z.record(z.string(), boundSchema));

/** Bounds by measurement and figure. */
export type Bounds = z.output<typeof boundsSchema>;

type Bound = z.output<typeof boundSchema>;

/** A bound with its verdict. */
export interface Verdict {
    readonly figure: string;
    readonly value: number | undefined;
    readonly bound: string;
    readonly target: string;
    readonly isKept: boolean;
}

/** Reads the bounds beside this module. */
export async function readBounds(): Promise<Bounds> {
    const file = new URL("./bounds.jsonc", import.meta.url);
    return parseJsonc("bench/bounds.jsonc", await readFile(file, "utf8"), boundsSchema);
}

/** Applies the bounds of one measurement; a bound on a figure that was not measured is broken. */
export function judge(bounds: Readonly<Record<string, Bound>>, figures: Figures): readonly Verdict[] {
    return Object.entries(bounds).map(([figure, bound]) => judgeOne(figure, bound, figures));
}

function judgeOne(figure: string, bound: Bound, figures: Figures): Verdict {
    const value = figures[figure];
    const { target } = bound;
    const [text, limit, isFloor] = limitOf(bound, figures);
    const isKept = value !== undefined && limit !== undefined && (isFloor ? value >= limit : value <= limit);
    return { figure, value, bound: text, target, isKept };
}

function limitOf(bound: Bound, figures: Figures): readonly [string, number | undefined, boolean] {
    if ("atMost" in bound) {
        return [`<= ${bound.atMost}`, bound.atMost, false];
    }
    if ("atLeast" in bound) {
        return [`>= ${bound.atLeast}`, bound.atLeast, true];
    }
    if ("atLeastOf" in bound) {
        return [`>= ${bound.atLeastOf}`, figures[bound.atLeastOf], true];
    }
    return [`<= ${bound.atMostOf}`, figures[bound.atMostOf], false];
}
