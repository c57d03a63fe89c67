/**
 * Outlier detection: ejects workers whose failure rate is far above the median of their pool, and readmits them after a
 * successful probe.
 */

/** Options of `OutlierDetector.create`. */
export interface OutlierDetectorOptions {
    /** Monotonic clock in milliseconds. */
    readonly now: () => number;
    /** Length of the window in which results are counted, in milliseconds. */
    readonly windowMs?: number;
    /** Minimum number of results in the window before a worker can be ejected. */
    readonly minResults?: number;
    /** Duration of the first ejection in milliseconds; it doubles with each consecutive ejection. */
    readonly baseEjectionMs?: number;
}

/** Whether a worker may receive requests. */
export enum EjectionState {
    Healthy = "good",
    /** Receives no requests until its ejection ends. */
    Ejected = "ejected",
    /** Receives one request at a time until one succeeds. */
    Probing = "probing",
}

interface WorkerRecord {
    windowStart: number;
    successes: number;
    failures: number;
    consecutiveEjections: number;
    ejectedUntil: number;
    /** Set from the ejection until a probe succeeds. */
    isProbing: boolean;
}

/** A worker with a lower failure rate is never ejected. */
const minFailureRate = 0.5;
/** A worker is an outlier when its failure rate is at least this multiple of the median. */
const medianFactor = 3;
const maxEjectionDoublings = 4;

/** Tracks the results of the workers of one pool. */
export class OutlierDetector {
    private readonly records = new Map<string, WorkerRecord>();

    private constructor(private readonly options: OutlierDetectorOptions) {}

    static create(options: OutlierDetectorOptions): OutlierDetector {
        return new OutlierDetector(options);
    }

    /** State of a worker at the current time; a worker without records is healthy. */
    stateOf(vm: string): EjectionState {
        const record = this.records.get(vm);
        if (record === undefined || !record.isProbing) {
            return EjectionState.Healthy;
        }
        return this.options.now() < record.ejectedUntil ? EjectionState.Ejected : EjectionState.Probing;
    }

    /**
     * Records a result; true when it caused the ejection of the worker. At most `maxEjected` workers of the pool are
     * ejected or probing at once.
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

    /** Number of workers that are ejected or probing. */
    ejectedCount(): number {
        return [...this.records.values()].filter(record => record.isProbing).length;
    }

    /** Drops the records of workers that are no longer in the pool. */
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

    /**
     * Ejects the worker again after a failed probe; failures of requests that were in flight at its ejection are
     * ignored.
     */
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
        const { now, baseEjectionMs = 2000 } = this.options;
        record.ejectedUntil = now()
            + baseEjectionMs * 2 ** Math.min(record.consecutiveEjections, maxEjectionDoublings);
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
