/**
 * Distribution of the ratio of actual run times to estimates over the last one to two thousand runs.
 *
 * Load pattern: callers' estimates are off by a constant factor in some queues, and three of 100 tasks take seven times as
 * long as the rest, so that a mean describes neither.
 */
import * as hdr from "hdr-histogram-js";

/** Units per ratio of 1; two significant digits then hold from a ratio of 0.1 on, one from 0.01 on. */
const unitsPerRatio = 1000;
/** Larger ratios are recorded as this one. */
const maxRatio = 200;
/** Runs after which the older half is forgotten. */
const windowRuns = 1024;
/** Number of cached quantiles; odd, so that the median is one of them. */
const quantileCount = 33;
/** Share of new runs from which the cached quantiles are computed anew, and the largest number of runs that they may lag. */
const refreshShare = 1 / 16;
const maxLagRuns = 64;

/** Quantiles that describe a distribution: equally spaced, each for an equal share of the runs. */
export interface RatioSketch {
    readonly runs: number;
    readonly ratios: readonly number[];
}

/** Histogram of ratios whose older half is forgotten every 1,024 runs. */
export class RatioHistogram {
    /** Runs since the last time that older ones were forgotten. */
    private readonly recent: hdr.Histogram;
    /** All runs that are remembered, the recent ones included. */
    private readonly all: hdr.Histogram;
    private quantiles: readonly number[] = [];
    private runsAtRefresh = 0;
    private recordedSinceRefresh = 0;

    private constructor(digits: 1 | 2) {
        this.recent = buildHistogram(digits);
        this.all = buildHistogram(digits);
    }

    /** Creates a histogram with a resolution of one or two significant digits; one takes a tenth of the memory. */
    static create(digits: 1 | 2 = 2): RatioHistogram {
        return new RatioHistogram(digits);
    }

    /** Number of runs that are remembered. */
    get runs(): number {
        return this.all.totalCount;
    }

    /** Memory of the counts, in bytes. */
    get footprintBytes(): number {
        return this.recent.estimatedFootprintInBytes + this.all.estimatedFootprintInBytes;
    }

    /** Adds `runs` runs of the same ratio. */
    record(ratio: number, runs = 1): void {
        const units = Math.max(1, Math.round(Math.min(maxRatio, ratio) * unitsPerRatio));
        this.recent.recordValueWithCount(units, runs);
        this.all.recordValueWithCount(units, runs);
        this.recordedSinceRefresh += runs;
        if (this.recent.totalCount >= windowRuns) {
            this.all.reset();
            this.all.add(this.recent);
            this.recent.reset();
        }
    }

    /** Ratio that the share `q` of the runs does not exceed, interpolated between cached quantiles; 1 without runs. */
    quantile(q: number): number {
        const ratios = this.refresh();
        if (ratios.length === 0) {
            return 1;
        }
        const at = Math.max(0, Math.min(ratios.length - 1, q * ratios.length - 0.5));
        const low = Math.floor(at);
        const high = Math.ceil(at);
        return ratios[low]! + (ratios[high]! - ratios[low]!) * (at - low);
    }

    /** Median ratio; 1 without runs. */
    get median(): number {
        return this.quantile(0.5);
    }

    /**
     * Median ratio of the runs that exceed a ratio, which is that of a run that has already taken so long; undefined if no
     * cached quantile exceeds it.
     */
    medianAbove(ratio: number): number | undefined {
        const above = this.refresh().filter(value => value > ratio);
        return above[Math.floor(above.length / 2)];
    }

    /** Sketch from which `restore` makes a histogram of the same median. */
    sketch(): RatioSketch {
        return { runs: this.runs, ratios: this.refresh() };
    }

    /** Adds the runs that a sketch stands for, at most half as many as are remembered at least. */
    restore({ runs, ratios }: RatioSketch): void {
        const each = Math.max(1, Math.round(Math.min(runs, windowRuns / 2) / ratios.length));
        ratios.forEach(ratio => this.record(ratio, each));
    }

    private refresh(): readonly number[] {
        const maxLag = Math.min(maxLagRuns, this.runsAtRefresh * refreshShare);
        if (this.recordedSinceRefresh > maxLag) {
            this.quantiles = Array.from(
                { length: quantileCount },
                (_, i) => this.all.getValueAtPercentile(100 * (i + 0.5) / quantileCount) / unitsPerRatio,
            );
            this.runsAtRefresh = this.runs;
            this.recordedSinceRefresh = 0;
        }
        return this.quantiles;
    }
}

function buildHistogram(digits: 1 | 2): hdr.Histogram {
    return hdr.build({
        bitBucketSize: 16,
        lowestDiscernibleValue: 1,
        highestTrackableValue: maxRatio * unitsPerRatio,
        numberOfSignificantValueDigits: digits,
    });
}
