/** Registry of counters, gauges and latency histograms, rendered in the Prometheus text format. */
import * as hdr from "hdr-histogram-js";

/** Label names and values of one series. */
export type Labels = Readonly<Record<string, string>>;

/** Longest duration that a histogram distinguishes; longer ones are recorded as this one. */
const maxTrackableMs = 600_000;
const microsPerMs = 1000;
const quantiles = [0.5, 0.9, 0.99, 0.999] as const;

/** Registry of the counters, gauges and histograms of one entry. */
export class Metrics {
    private readonly counters = new Map<string, number>();
    private readonly gauges = new Map<string, () => number>();
    private readonly histograms = new Map<string, hdr.Histogram>();

    static create(): Metrics {
        return new Metrics();
    }

    /** Adds `by` to a counter. */
    count(name: string, labels: Labels = {}, by = 1): void {
        const key = seriesKey(name, labels);
        this.counters.set(key, (this.counters.get(key) ?? 0) + by);
    }

    /** Current value of a counter; 0 if it was never incremented. */
    read(name: string, labels: Labels = {}): number {
        return this.counters.get(seriesKey(name, labels)) ?? 0;
    }

    /** Registers a gauge; `value` is called whenever the metrics are rendered. */
    gauge(name: string, labels: Labels, value: () => number): void {
        this.gauges.set(seriesKey(name, labels), value);
    }

    /** Records a duration in a histogram. */
    observe(name: string, ms: number, labels: Labels = {}): void {
        const key = seriesKey(name, labels);
        let histogram = this.histograms.get(key);
        if (histogram === undefined) {
            histogram = createHistogram();
            this.histograms.set(key, histogram);
        }
        histogram.recordValue(toMicros(ms));
    }

    /** A percentile (0 to 100) of a histogram, in milliseconds; undefined when nothing was recorded. */
    percentile(name: string, labels: Labels, percentile: number): number | undefined {
        const histogram = this.histograms.get(seriesKey(name, labels));
        return histogram === undefined ? undefined : histogram.getValueAtPercentile(percentile) / microsPerMs;
    }

    /** Renders all series in the Prometheus text format. */
    render(): string {
        const lines: string[] = [];
        for (const [key, value] of [...this.counters].sort()) {
            lines.push(`${key} ${value}`);
        }
        for (const [key, value] of [...this.gauges].sort()) {
            lines.push(`${key} ${value()}`);
        }
        for (const [key, histogram] of [...this.histograms].sort()) {
            lines.push(...renderHistogram(key, histogram));
        }
        return lines.join("\n") + "\n";
    }
}

/** Creates a histogram for durations of up to ten minutes, recorded in microseconds. */
export function createHistogram(): hdr.Histogram {
    return hdr.build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: maxTrackableMs * microsPerMs,
        numberOfSignificantValueDigits: 2,
    });
}

/** Converts a duration to whole microseconds, limited to the range that a histogram can hold. */
export function toMicros(ms: number): number {
    return Math.max(1, Math.round(Math.min(ms, maxTrackableMs) * microsPerMs));
}

function seriesKey(name: string, labels: Labels): string {
    const parts = Object.entries(labels).map(([label, value]) => `${label}="${escapeLabel(value)}"`);
    return parts.length === 0 ? name : `${name}{${parts.join(",")}}`;
}

function escapeLabel(value: string): string {
    return value.replace(/[\\"\n]/g, ch => ch === "\n" ? "\\n" : `\\${ch}`);
}

function renderHistogram(key: string, histogram: hdr.Histogram): string[] {
    const brace = key.indexOf("{");
    const name = brace < 0 ? key : key.slice(0, brace);
    const inner = brace < 0 ? "" : `${key.slice(brace + 1, -1)},`;
    const lines = quantiles.map(q => {
        const value = histogram.getValueAtPercentile(q * 100) / microsPerMs;
        return `${name}{${inner}quantile="${q}"} ${value}`;
    });
    const suffix = brace < 0 ? "" : key.slice(brace);
    lines.push(`${name}_count${suffix} ${histogram.totalCount}`);
    return lines;
}
