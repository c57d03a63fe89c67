/** The embedded platform in virtual time, with latency and faults for each caller. */
import { EmbeddedPlatform } from "../../src/connection/platform/index.js";
import { PlatformError } from "../../src/process/errors.js";
import type { Platform, TransactResult, Usage, VmList } from "../../src/process/platform.js";
import type { Row, Write } from "../../src/process/store.js";
import { sleep, type Timer } from "../../src/process/timer.js";

/** How the platform behaves towards one caller, or all. */
export interface PlatformMood {
    isDown: boolean;
    latencyMs: number;
    /** Decides for each call, given the row, prefix or object it is about, whether its answer is lost after its effect. */
    losesAnswer: (about: string) => boolean;
}

/** Counts of table calls. */
export interface PlatformCalls {
    reads: number;
    writes: number;
}

/** A platform that answers truthfully and at once in the given time. */
export function calmMood(latencyMs = 2): PlatformMood {
    return { isDown: false, latencyMs, losesAnswer: () => false };
}

/** One caller's way to the shared platform. */
export class VirtualPlatform implements Platform {
    readonly calls: PlatformCalls = { reads: 0, writes: 0 };

    constructor(
        private readonly inner: EmbeddedPlatform,
        private readonly timer: Timer,
        private readonly moods: readonly PlatformMood[],
    ) {}

    get(key: string): Promise<Row | undefined> {
        this.calls.reads++;
        return this.pass(key, () => this.inner.get(key));
    }

    scan(prefix: string, after: string, limit: number): Promise<readonly Row[]> {
        this.calls.reads++;
        return this.pass(prefix, () => this.inner.scan(prefix, after, limit));
    }

    transact(writes: readonly Write[]): Promise<TransactResult> {
        this.calls.writes++;
        return this.pass(writes[0]?.key ?? "", () => this.inner.transact(writes));
    }

    putObject(key: string, body: Buffer): Promise<void> {
        return this.pass(key, () => this.inner.putObject(key, body));
    }

    getObject(key: string): Promise<Buffer | undefined> {
        return this.pass(key, () => this.inner.getObject(key));
    }

    deleteObject(key: string): Promise<void> {
        return this.pass(key, () => this.inner.deleteObject(key));
    }

    listVms(): Promise<VmList> {
        return this.pass("listVms", () => this.inner.listVms());
    }

    listUsage(): Promise<readonly Usage[]> {
        return this.pass("listUsage", () => this.inner.listUsage());
    }

    drain(vm: string): Promise<void> {
        return this.pass("drain", () => this.inner.drain(vm));
    }

    undrain(vm: string): Promise<void> {
        return this.pass("undrain", () => this.inner.undrain(vm));
    }

    reboot(vm: string, ifBootId: string): Promise<boolean> {
        return this.pass("reboot", () => this.inner.reboot(vm, ifBootId));
    }

    moveVm(vm: string, pool: string): Promise<void> {
        return this.pass("moveVm", () => this.inner.moveVm(vm, pool));
    }

    private async pass<T>(about: string, call: () => Promise<T>): Promise<T> {
        const latencyMs = Math.max(...this.moods.map(mood => mood.latencyMs));
        await sleep(this.timer, latencyMs / 2);
        this.failIf(mood => mood.isDown);
        const value = await call();
        await sleep(this.timer, latencyMs / 2);
        this.failIf(mood => mood.isDown || mood.losesAnswer(about));
        return value;
    }

    private failIf(fails: (mood: PlatformMood) => boolean): void {
        if (this.moods.some(fails)) {
            throw new PlatformError("the platform did not answer; it is made to fail here");
        }
    }
}
