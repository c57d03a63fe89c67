/** Ejects workers that fail far more than the median of their pool, and lets them back by single probes. */

/** Options of `Outliers.create`. */
export interface OutlierOptions {
    readonly now: () => number;
    /** Length of the window in which failures count, in milliseconds. */
    readonly windowMs?: number;
    /** Fewest results in the window before a worker is judged. */
    readonly minResults?: number;
    /** First time out, in milliseconds; it doubles with each ejection in a row. */
    readonly firstMs?: number;
}

/** Whether a worker may be used. */
export enum Standing {
    Good = "good",
    /** Ejected; not to be used. */
    Ejected = "ejected",
    /** One request at a time, until one succeeds. */
    Probing = "probing",
}

interface WorkerRecord {
    windowAt: number;
    good: number;
    bad: number;
    ejections: number;
    ejectedUntil: number;
    isProbing: boolean;
}

const minFailureRate = 0.5;
const medianFactor = 3;
const maxDoublings = 4;

/** Results of the workers of one pool. */
export class Outliers {
    private readonly records = new Map<string, WorkerRecord>();

    private constructor(private readonly options: OutlierOptions) {}

    static create(options: OutlierOptions): Outliers {
        return new Outliers(options);
    }

    /** Whether a worker may be used now. */
    standing(vm: string): Standing {
        const record = this.records.get(vm);
        if (record === undefined || !record.isProbing) {
            return Standing.Good;
        }
        return this.options.now() < record.ejectedUntil ? Standing.Ejected : Standing.Probing;
    }

    /**
     * Records a result. True when it caused the worker's ejection; `mayEject` says how many of the pool's workers
     * may be out at once.
     */
    record(vm: string, isGood: boolean, mayEject: number): boolean {
        const record = this.current(vm);
        if (isGood) {
            record.good++;
            this.readmit(record);
            return false;
        }
        record.bad++;
        if (record.isProbing) {
            this.failProbe(record);
            return false;
        }
        const shouldEject = this.isOutlier(record) && this.ejectedCount() < mayEject;
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

    private current(vm: string): WorkerRecord {
        const { now, windowMs = 10_000 } = this.options;
        const record = this.records.get(vm) ?? createRecord(now());
        this.records.set(vm, record);
        if (now() - record.windowAt > windowMs) {
            Object.assign(record, { windowAt: now(), good: 0, bad: 0 });
        }
        return record;
    }

    private readmit(record: WorkerRecord): void {
        if (record.isProbing && this.options.now() >= record.ejectedUntil) {
            Object.assign(record, { isProbing: false, bad: 0, good: 1 });
        }
        if (!record.isProbing && record.bad === 0 && record.good > (this.options.minResults ?? 5)) {
            record.ejections = 0;
        }
    }

    /** Ejects again after a failed probe; what was in flight when the worker was ejected does not count. */
    private failProbe(record: WorkerRecord): void {
        if (this.options.now() >= record.ejectedUntil) {
            this.eject(record);
        }
    }

    private isOutlier(record: WorkerRecord): boolean {
        const results = record.good + record.bad;
        const rate = record.bad / results;
        const threshold = Math.max(minFailureRate, medianFactor * this.medianRate());
        return results >= (this.options.minResults ?? 5) && rate >= Math.min(1, threshold);
    }

    private medianRate(): number {
        const rates = [...this.records.values()]
            .filter(record => record.good + record.bad > 0 && !record.isProbing)
            .map(record => record.bad / (record.good + record.bad))
            .sort((a, b) => a - b);
        return rates[Math.floor((rates.length - 1) / 2)] ?? 0;
    }

    private eject(record: WorkerRecord): void {
        const { now, firstMs = 2000 } = this.options;
        record.ejectedUntil = now() + firstMs * 2 ** Math.min(record.ejections, maxDoublings);
        record.ejections++;
        record.isProbing = true;
    }
}

function createRecord(now: number): WorkerRecord {
    return { windowAt: now, good: 0, bad: 0, ejections: 0, ejectedUntil: 0, isProbing: false };
}
