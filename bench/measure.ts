/** What a measurement is: a name, and figures that may be bound by a target. */

/** Figures by name. Units are part of the names. */
export type Figures = Readonly<Record<string, number>>;

/** Options that every measurement gets. */
export interface MeasureOptions {
    readonly seed: number;
}

/** One measurement. */
export interface Measure {
    readonly name: string;
    /** Whether it runs in virtual time, where figures are exact under their seed. */
    readonly isVirtual: boolean;
    readonly run: (options: MeasureOptions) => Promise<Figures>;
}

/** The value below which `part` of the values lie; 0 for none. */
export function quantile(values: readonly number[], part: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? 0;
}

/** The mean; 0 for none. */
export function mean(values: readonly number[]): number {
    return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Rounds to three significant places for reports. */
export function round(value: number): number {
    return Number(value.toPrecision(4));
}
