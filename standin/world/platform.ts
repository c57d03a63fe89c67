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
    /** Decides for each call whether its answer is lost after the call took effect. */
    losesAnswer: () => boolean;
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
        return this.pass(() => this.inner.get(key));
    }

    scan(prefix: string, after: string, limit: number): Promise<readonly Row[]> {
        this.calls.reads++;
        return this.pass(() => this.inner.scan(prefix, after, limit));
    }

    transact(writes: readonly Write[]): Promise<TransactResult> {
        this.calls.writes++;
        return this.pass(() => this.inner.transact(writes));
    }

    putObject(key: string, body: Buffer): Promise<void> {
        return this.pass(() => this.inner.putObject(key, body));
    }

    getObject(key: string): Promise<Buffer | undefined> {
        return this.pass(() => this.inner.getObject(key));
    }

    deleteObject(key: string): Promise<void> {
        return this.pass(() => this.inner.deleteObject(key));
    }

    listVms(): Promise<VmList> {
        return this.pass(() => this.inner.listVms());
    }

    listUsage(): Promise<readonly Usage[]> {
        return this.pass(() => this.inner.listUsage());
    }

    drain(vm: string): Promise<void> {
        return this.pass(() => this.inner.drain(vm));
    }

    undrain(vm: string): Promise<void> {
        return this.pass(() => this.inner.undrain(vm));
    }

    reboot(vm: string, ifBootId: string): Promise<boolean> {
        return this.pass(() => this.inner.reboot(vm, ifBootId));
    }

    moveVm(vm: string, pool: string): Promise<void> {
        return this.pass(() => this.inner.moveVm(vm, pool));
    }

    private async pass<T>(call: () => Promise<T>): Promise<T> {
        const latencyMs = Math.max(...this.moods.map(mood => mood.latencyMs));
        await sleep(this.timer, latencyMs / 2);
        this.failIf(mood => mood.isDown);
        const value = await call();
        await sleep(this.timer, latencyMs / 2);
        this.failIf(mood => mood.isDown || mood.losesAnswer());
        return value;
    }

    private failIf(fails: (mood: PlatformMood) => boolean): void {
        if (this.moods.some(fails)) {
            throw new PlatformError("the platform did not answer; it is made to fail here");
        }
    }
}
