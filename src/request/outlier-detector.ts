/** Ejects workers that fail far more than the median of their pool, and lets them back by single probes. */

/** Options of `Outliers.create`. */
export interface OutlierDetectorOptions {
    readonly now: () => number;
    /** Length of the window in which failures count, in milliseconds. */
    readonly windowMs?: number;
    /** Fewest results in the window before a worker is judged. */
    readonly minResults?: number;
    /** First time out, in milliseconds; it doubles with each ejection in a row. */
    readonly baseEjectionMs?: number;
}

/** Whether a worker may be used. */
export enum EjectionState {
    Healthy = "good",
    /** Ejected; not to be used. */
    Ejected = "ejected",
    /** One request at a time, until one succeeds. */
    Probing = "probing",
}

interface WorkerRecord {
    windowStart: number;
    successes: number;
    failures: number;
    consecutiveEjections: number;
    ejectedUntil: number;
    isProbing: boolean;
}

const minFailureRate = 0.5;
const medianFactor = 3;
const maxEjectionDoublings = 4;

/** Results of the workers of one pool. */
export class OutlierDetector {
    private readonly records = new Map<string, WorkerRecord>();

    private constructor(private readonly options: OutlierDetectorOptions) {}

    static create(options: OutlierDetectorOptions): OutlierDetector {
        return new OutlierDetector(options);
    }

    /** Whether a worker may be used now. */
    stateOf(vm: string): EjectionState {
        const record = this.records.get(vm);
        if (record === undefined || !record.isProbing) {
            return EjectionState.Healthy;
        }
        return this.options.now() < record.ejectedUntil ? EjectionState.Ejected : EjectionState.Probing;
    }

    /**
     * Records a result. True when it caused the worker's ejection; `mayEject` says how many of the pool's workers
     * may be out at once.
     */
    record(vm: string, isSuccess: boolean, maxEjected: number): boolean {
        const record = this.currentRecord(vm);
        if (isSuccess) {
            record.successes++;
            this.readmit(record);
            return false;
        }
        record.failures++;
        if (record.isProbing) {
            this.failProbe(record);
            return false;
        }
        const shouldEject = this.isOutlier(record) && this.ejectedCount() < maxEjected;
        if (shouldEject) {
            this.eject(record);
        }
        return shouldEject;
    }

    /** Workers that are out or on probation. */
    ejectedCount(): number {
        return [...this.records.values()].filter(record => record.isProbing).length;
    }

    /** Forgets workers that are no longer in the pool. */
    retain(vms: ReadonlySet<string>): void {
        [...this.records.keys()].filter(vm => !vms.has(vm)).forEach(vm => this.records.delete(vm));
    }

    private currentRecord(vm: string): WorkerRecord {
        const { now, windowMs = 10_000 } = this.options;
        const record = this.records.get(vm) ?? createRecord(now());
        this.records.set(vm, record);
        if (now() - record.windowStart > windowMs) {
            Object.assign(record, { windowStart: now(), successes: 0, failures: 0 });
        }
        return record;
    }

    private readmit(record: WorkerRecord): void {
        if (record.isProbing && this.options.now() >= record.ejectedUntil) {
            Object.assign(record, { isProbing: false, failures: 0, successes: 1 });
        }
        if (!record.isProbing && record.failures === 0 && record.successes > (this.options.minResults ?? 5)) {
            record.consecutiveEjections = 0;
        }
    }

    /** Ejects again after a failed probe; what was in flight when the worker was ejected does not count. */
    private failProbe(record: WorkerRecord): void {
        if (this.options.now() >= record.ejectedUntil) {
            this.eject(record);
        }
    }

    private isOutlier(record: WorkerRecord): boolean {
        const results = record.successes + record.failures;
        const rate = record.failures / results;
        const threshold = Math.max(minFailureRate, medianFactor * this.medianRate());
        return results >= (this.options.minResults ?? 5) && rate >= Math.min(1, threshold);
    }

    private medianRate(): number {
        const rates = [...this.records.values()]
            .filter(record => record.successes + record.failures > 0 && !record.isProbing)
            .map(record => record.failures / (record.successes + record.failures))
            .sort((a, b) => a - b);
        return rates[Math.floor((rates.length - 1) / 2)] ?? 0;
    }

    private eject(record: WorkerRecord): void {
        const { now, baseEjectionMs: firstMs = 2000 } = this.options;
        record.ejectedUntil = now()
            + firstMs * 2 ** Math.min(record.consecutiveEjections, maxEjectionDoublings);
        record.consecutiveEjections++;
        record.isProbing = true;
    }
}

function createRecord(now: number): WorkerRecord {
    return {
        windowStart: now,
        successes: 0,
        failures: 0,
        consecutiveEjections: 0,
        ejectedUntil: 0,
        isProbing: false,
    };
}
