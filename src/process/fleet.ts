/**
 * Task that follows the fleet: it registers this entry, reads the member rows, the platform's list of VMs and the
 * permits of the pools, and tells the other tasks when any of them changed.
 */
import { EventId, Severity } from "./events.js";
import { runFlow } from "./flow.js";
import { type Publish, type Task, Topic } from "./hub.js";
import type { Log } from "./log.js";
import {
    deregister,
    emptyMemberView,
    hasEnded,
    isMemberRow,
    type Member,
    type MemberView,
    register,
    updateMemberView,
} from "./members.js";
import { entryPoolName, type Platform, type PoolSpec, type Vm, type VmList } from "./platform.js";
import { type PoolRow, poolRowsOf, readFleetRows, type VmRow, vmRowsOf } from "./pool-rows.js";
import type { Row, Store, StoreFlow } from "./store.js";
import { type Cancel, sleep, type Timer } from "./timer.js";

/** Options of `Fleet.create`. */
export interface FleetOptions {
    readonly store: Store;
    readonly platform: Platform;
    readonly publish: Publish;
    readonly timer: Timer;
    readonly log: Log;
    readonly vm: string;
    readonly zone: string;
    readonly peerUrl: string;
    readonly pollMs?: number;
}

/** Everything known about members, VMs and pools. */
export interface FleetView {
    readonly members: MemberView;
    readonly vms: readonly Vm[];
    readonly pools: readonly PoolSpec[];
    /** Permit rows by pool. */
    readonly poolRows: ReadonlyMap<string, PoolRow>;
    /** Rows of VMs that were moved, by VM id; their pool goes before the platform's list. */
    readonly vmRows: ReadonlyMap<string, VmRow>;
}

const emptyView: FleetView = {
    members: emptyMemberView,
    vms: [],
    pools: [],
    poolRows: new Map(),
    vmRows: new Map(),
};

const registerRetryDelayMs = 300;

/** The fleet as one entry sees it. */
export class Fleet implements Task {
    readonly name = "fleet";
    private current = emptyView;
    private member: Member | undefined;
    private vmListReadAt = -Infinity;
    private isStopped = false;
    private isPolling = false;
    private readonly cancels: Cancel[] = [];
    private readonly endDetectedAt = new Map<string, number>();

    private constructor(private readonly options: FleetOptions) {}

    static create(options: FleetOptions): Fleet {
        return new Fleet(options);
    }

    /** The last view. */
    get view(): FleetView {
        return this.current;
    }

    /** This entry's registration; undefined until the store accepted it. */
    get self(): Member | undefined {
        return this.member;
    }

    /** Registered entries that have not ended, this one included. */
    get live(): readonly Member[] {
        return this.current.members.live;
    }

    /** Monotonic time of the last successful read of the platform's list, in milliseconds. */
    get lastVmListAt(): number {
        return this.vmListReadAt;
    }

    /** Whether there is evidence that an incarnation has ended. */
    hasEnded(incarnation: string): boolean {
        return hasEnded(this.current.members, incarnation);
    }

    /** Monotonic time at which an incarnation was first seen to have ended; undefined while it has not. */
    endedSince(incarnation: string): number | undefined {
        if (!this.hasEnded(incarnation)) {
            this.endDetectedAt.delete(incarnation);
            return undefined;
        }
        const at = this.endDetectedAt.get(incarnation) ?? this.options.timer.now();
        this.endDetectedAt.set(incarnation, at);
        return at;
    }

    async start(): Promise<void> {
        const { timer, pollMs = 1000 } = this.options;
        await this.poll();
        this.cancels.push(timer.every(pollMs, () => void this.poll()));
        void this.registerUntilDone();
    }

    stop(): Promise<void> {
        this.isStopped = true;
        this.cancels.forEach(cancel => cancel());
        return Promise.resolve();
    }

    /** Removes the registration; call when nothing is held any more. */
    async leave(): Promise<void> {
        if (this.member !== undefined) {
            await this.runFlow(deregister(this.member));
        }
    }

    /** Reads everything again. */
    async poll(): Promise<void> {
        if (this.isPolling) {
            return;
        }
        this.isPolling = true;
        await this.pollOnce().finally(() => this.isPolling = false);
    }

    private async pollOnce(): Promise<void> {
        const { platform } = this.options;
        const [list, rows] = await Promise.all([
            platform.listVms().catch(() => undefined),
            this.runFlow(readFleetRows()).catch(() => undefined),
        ]);
        if (list !== undefined) {
            this.vmListReadAt = this.options.timer.now();
        }
        this.merge(list, rows);
        this.options.publish(Topic.FleetChanged, {});
    }

    private merge(list: VmList | undefined, rows: readonly Row[] | undefined): void {
        const old = this.current;
        const before = new Set(old.members.live.map(member => member.incarnation));
        this.current = {
            members: rows === undefined
                ? old.members
                : updateMemberView(old.members, rows.filter(isMemberRow), list),
            vms: list?.vms ?? old.vms,
            pools: list?.pools ?? old.pools,
            poolRows: rows === undefined ? old.poolRows : poolRowsOf(rows),
            vmRows: rows === undefined ? old.vmRows : vmRowsOf(rows),
        };
        const after = new Set(this.live.map(member => member.incarnation));
        [...before].filter(incarnation => !after.has(incarnation)).forEach(incarnation => {
            this.options.log.write(Severity.Warn, EventId.MemberGone, { member: incarnation });
        });
    }

    private async registerUntilDone(): Promise<void> {
        const { vm, zone, peerUrl, timer, log } = this.options;
        while (this.member === undefined && !this.isStopped) {
            const listed = this.current.vms.some(other => other.id === vm && other.pool === entryPoolName);
            const member = await this.runFlow(register({ vm, zone, peerUrl, listed })).catch(() => undefined);
            if (member === undefined) {
                await sleep(timer, registerRetryDelayMs);
                continue;
            }
            this.member = member;
            log.write(Severity.Info, EventId.MemberRegistered, { incarnation: member.incarnation });
            await this.poll();
        }
    }

    private runFlow<T>(flow: StoreFlow<T>): Promise<T> {
        return runFlow(flow, effect => this.options.store.perform(effect));
    }
}
