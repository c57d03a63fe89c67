/**
 * Run times of each queue as two distributions: relative to the caller's estimate, and absolute.
 *
 * Load pattern: callers' estimates are off by a constant factor in some queues, and at random in others, where the queue's own
 * run times say more; three of 100 tasks take seven times as long as the rest.
 */
import { z } from "zod";
import { parseJson } from "../../process/json.js";
import { maxPartBytes, type StatePart } from "../owner-state.js";
import { RatioHistogram, type RatioSketch } from "./ratio-histogram.js";

/** The two distributions of a queue. */
interface QueueRunTimes {
    /** Run time as a multiple of the estimate, of the runs that had one. */
    readonly relative: RatioHistogram;
    /** Run time as a multiple of `unitMs`. */
    readonly absolute: RatioHistogram;
    runsSinceStored: number;
}

/** The distribution that describes a run, and the time in milliseconds that its ratios are multiples of. */
interface Model {
    readonly histogram: RatioHistogram;
    readonly scaleMs: number;
}

const unitMs = 1000;
/** Number of runs from which the distribution alone counts; before, the caller's estimate has the rest of the weight. */
const fullWeightRuns = 10;
/** Quotient of the spreads below which absolute run times describe a queue better than those relative to the estimate. */
const absoluteAdvantage = 0.8;
/** Share of new runs, and their number, from which a queue's distributions are worth storing again. */
const storeShare = 1 / 16;
const storeRuns = 64;
/** Every second cached quantile is stored, the median among them. */
const storedStep = 2;
const storedDigits = 3;

const sketchSchema = z.object({
    runs: z.number().int().min(1),
    ratios: z.array(z.number().min(0)).min(1).max(100),
});
const storedSchema = z.array(z.tuple([z.string(), sketchSchema.nullable(), sketchSchema.nullable()]));

/** Distributions of the run times of all queues, kept across owners. */
export class RunTimeDistributions implements StatePart {
    readonly name = "run-times";
    private readonly queues = new Map<string, QueueRunTimes>();

    static create(): RunTimeDistributions {
        return new RunTimeDistributions();
    }

    /** Memory of the histograms, in bytes. */
    get footprintBytes(): number {
        return [...this.queues.values()].reduce(
            (sum, { relative, absolute }) => sum + relative.footprintBytes + absolute.footprintBytes,
            0,
        );
    }

    /** Adds a run that took `ms` milliseconds; `estimateMs` is 0 if the caller gave no estimate. */
    record(queue: string, ms: number, estimateMs: number): void {
        const found = this.queueOf(queue);
        found.absolute.record(ms / unitMs);
        if (estimateMs > 0) {
            found.relative.record(ms / estimateMs);
        }
        found.runsSinceStored++;
    }

    /**
     * Run time in milliseconds that the share `q` of the runs with such an estimate does not exceed. `fallbackMs` is used for
     * a queue without runs if the caller gave no estimate.
     */
    quantile(queue: string, estimateMs: number, q: number, fallbackMs: number): number {
        const model = this.modelOf(queue, estimateMs);
        const priorMs = estimateMs > 0 ? estimateMs : model?.scaleMs ?? fallbackMs;
        if (model === undefined) {
            return priorMs;
        }
        const { histogram, scaleMs } = model;
        const weight = Math.min(1, histogram.runs / fullWeightRuns);
        return priorMs ** (1 - weight) * (histogram.quantile(q) * scaleMs) ** weight;
    }

    /**
     * Expected remaining time in milliseconds of a run that has been at work for `elapsedMs`: the median of the runs that took
     * longer. A run that exceeds all known ones is expected to take as long again.
     */
    remaining(queue: string, estimateMs: number, elapsedMs: number, fallbackMs: number): number {
        const model = this.modelOf(queue, estimateMs);
        if (model === undefined || model.histogram.runs < fullWeightRuns) {
            const expectedMs = this.quantile(queue, estimateMs, 0.5, fallbackMs);
            return expectedMs > elapsedMs ? expectedMs - elapsedMs : elapsedMs;
        }
        const median = model.histogram.medianAbove(elapsedMs / model.scaleMs);
        return median === undefined ? elapsedMs : median * model.scaleMs - elapsedMs;
    }

    /** Text of the distributions, those of the queues with the most runs first, as many as a part may hold. */
    encode(): string | undefined {
        const queues = [...this.queues];
        const isWorthStoring = queues.some(([, { absolute, runsSinceStored }]) =>
            runsSinceStored > Math.min(storeRuns, absolute.runs * storeShare)
        );
        if (!isWorthStoring) {
            return undefined;
        }
        const texts: string[] = [];
        let bytes = 2;
        for (const [queue, found] of queues.sort(([, a], [, b]) => b.absolute.runs - a.absolute.runs)) {
            found.runsSinceStored = 0;
            const text = JSON.stringify([queue, sketchOf(found.relative), sketchOf(found.absolute)]);
            bytes += Buffer.byteLength(text) + 1;
            if (bytes <= maxPartBytes) {
                texts.push(text);
            }
        }
        return `[${texts.join(",")}]`;
    }

    restore(text: string): boolean {
        const { data } = storedSchema.safeParse(parseJson(text));
        for (const [queue, relative, absolute] of data ?? []) {
            const found = this.queueOf(queue);
            if (relative) {
                found.relative.restore(relative);
            }
            if (absolute) {
                found.absolute.restore(absolute);
            }
        }
        return data !== undefined;
    }

    /** The narrower one of a queue's distributions; undefined without runs. */
    private modelOf(queue: string, estimateMs: number): Model | undefined {
        const found = this.queues.get(queue);
        if (found === undefined || found.absolute.runs === 0) {
            return undefined;
        }
        const { relative, absolute } = found;
        const isRelative = estimateMs > 0 && relative.runs > 0
            && (absolute.runs < fullWeightRuns
                || spreadOf(absolute) >= absoluteAdvantage * spreadOf(relative));
        return isRelative
            ? { histogram: relative, scaleMs: estimateMs }
            : { histogram: absolute, scaleMs: unitMs };
    }

    private queueOf(queue: string): QueueRunTimes {
        const found = this.queues.get(queue)
            ?? { relative: RatioHistogram.create(), absolute: RatioHistogram.create(), runsSinceStored: 0 };
        this.queues.set(queue, found);
        return found;
    }
}

/** Logarithm of the quotient of the quartiles. */
function spreadOf(histogram: RatioHistogram): number {
    return Math.log(histogram.quantile(0.75) / histogram.quantile(0.25));
}

function sketchOf(histogram: RatioHistogram): RatioSketch | undefined {
    if (histogram.runs === 0) {
        return undefined;
    }
    const { runs, ratios } = histogram.sketch();
    return {
        runs,
        ratios: ratios.filter((_, i) => i % storedStep === 0).map(ratio =>
            Number(ratio.toPrecision(storedDigits))
        ),
    };
}
