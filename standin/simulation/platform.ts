/** The embedded platform in virtual time, with latency and faults set for each caller. */
import { EmbeddedPlatform } from "../../src/connection/platform/index.js";
import { PlatformError } from "../../src/process/errors.js";
import type { Platform, TransactResult, Usage, VmList } from "../../src/process/platform.js";
import type { Row, Write } from "../../src/process/store.js";
import { sleep, type Timer } from "../../src/process/timer.js";

/** Latency and faults of the platform for one caller or all callers. */
export interface PlatformConditions {
    isDown: boolean;
    latencyMs: number;
    /**
     * Decides whether the answer of a call is lost after the call took effect. `target` is the row, prefix or object
     * that the call accesses, or the name of the method.
     */
    losesAnswer: (target: string) => boolean;
}

/** Numbers of table reads and writes. */
export interface TableCallCounts {
    reads: number;
    writes: number;
}

/** Conditions without faults. */
export function normalConditions(latencyMs = 2): PlatformConditions {
    return { isDown: false, latencyMs, losesAnswer: () => false };
}

/** One caller's client of the shared platform; the worst of the given conditions applies to each call. */
export class VirtualPlatform implements Platform {
    readonly calls: TableCallCounts = { reads: 0, writes: 0 };

    constructor(
        private readonly embedded: EmbeddedPlatform,
        private readonly timer: Timer,
        private readonly conditions: readonly PlatformConditions[],
    ) {}

    get(key: string): Promise<Row | undefined> {
        this.calls.reads++;
        return this.simulateCall(key, () => this.embedded.get(key));
    }

    scan(prefix: string, after: string, limit: number): Promise<readonly Row[]> {
        this.calls.reads++;
        return this.simulateCall(prefix, () => this.embedded.scan(prefix, after, limit));
    }

    transact(writes: readonly Write[]): Promise<TransactResult> {
        this.calls.writes++;
        return this.simulateCall(writes[0]?.key ?? "", () => this.embedded.transact(writes));
    }

    putObject(key: string, body: Buffer): Promise<void> {
        return this.simulateCall(key, () => this.embedded.putObject(key, body));
    }

    getObject(key: string): Promise<Buffer | undefined> {
        return this.simulateCall(key, () => this.embedded.getObject(key));
    }

    deleteObject(key: string): Promise<void> {
        return this.simulateCall(key, () => this.embedded.deleteObject(key));
    }

    listVms(): Promise<VmList> {
        return this.simulateCall("listVms", () => this.embedded.listVms());
    }

    listUsage(): Promise<readonly Usage[]> {
        return this.simulateCall("listUsage", () => this.embedded.listUsage());
    }

    drain(vm: string): Promise<void> {
        return this.simulateCall("drain", () => this.embedded.drain(vm));
    }

    undrain(vm: string): Promise<void> {
        return this.simulateCall("undrain", () => this.embedded.undrain(vm));
    }

    reboot(vm: string, ifBootId: string): Promise<boolean> {
        return this.simulateCall("reboot", () => this.embedded.reboot(vm, ifBootId));
    }

    moveVm(vm: string, pool: string): Promise<void> {
        return this.simulateCall("moveVm", () => this.embedded.moveVm(vm, pool));
    }

    private async simulateCall<T>(target: string, call: () => Promise<T>): Promise<T> {
        const latencyMs = Math.max(...this.conditions.map(each => each.latencyMs));
        await sleep(this.timer, latencyMs / 2);
        this.throwIf(conditions => conditions.isDown);
        const value = await call();
        await sleep(this.timer, latencyMs / 2);
        this.throwIf(conditions => conditions.isDown || conditions.losesAnswer(target));
        return value;
    }

    private throwIf(predicate: (conditions: PlatformConditions) => boolean): void {
        if (this.conditions.some(predicate)) {
            throw new PlatformError("the platform did not answer: simulated outage or lost answer");
        }
    }
}
