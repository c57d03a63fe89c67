/**
 * Task that registers this entry and maintains its view of the fleet. It polls the platform's list of VMs and the rows
 * of members, pools and moved VMs, and notifies the other tasks after each poll.
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
    /** Id of this entry's VM. */
    readonly vm: string;
    readonly zone: string;
    /** WebSocket address of this entry's peer listener. */
    readonly peerUrl: string;
    /** Interval between polls, in milliseconds. */
    readonly pollMs?: number;
    /** Evacuated zones as of the revision in force; the same object until they change. No zone is by default. */
    readonly evacuatedZones?: () => ZoneNames;
}

/** Names of availability zones. */
export interface ZoneNames {
    has(zone: string): boolean;
}

/** Members, VMs and pools as last read. When a read fails, the previous values are kept. */
export interface FleetView {
    readonly members: MemberView;
    readonly vms: readonly Vm[];
    readonly pools: readonly PoolSpec[];
    /** Pool rows, which contain the permits, by pool. */
    readonly poolRows: ReadonlyMap<string, PoolRow>;
    /** Rows of moved VMs by VM id; their pool takes precedence over that of the platform's list. */
    readonly vmRows: ReadonlyMap<string, VmRow>;
    /** Zones in which nothing may be started; none if undefined. */
    readonly evacuatedZones?: ZoneNames | undefined;
}

const emptyView: FleetView = {
    members: emptyMemberView,
    vms: [],
    pools: [],
    poolRows: new Map(),
    vmRows: new Map(),
};

const registerRetryDelayMs = 300;

/** View of the fleet of one entry. */
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

    /** The view, with the evacuated zones of the revision that is in force now. */
    get view(): FleetView {
        const evacuatedZones = this.options.evacuatedZones?.();
        if (evacuatedZones !== this.current.evacuatedZones) {
            this.current = { ...this.current, evacuatedZones };
        }
        return this.current;
    }

    /** This entry's registration; undefined until the store has committed it. */
    get self(): Member | undefined {
        return this.member;
    }

    /** Registered entries that have not ended, including this one. */
    get live(): readonly Member[] {
        return this.current.members.live;
    }

    /** Monotonic time of the last successful read of the platform's list, in ms; -Infinity before the first. */
    get lastVmListAt(): number {
        return this.vmListReadAt;
    }

    /** Whether an incarnation is known to have ended. */
    hasEnded(incarnation: string): boolean {
        return hasEnded(this.current.members, incarnation);
    }

    /**
     * Monotonic time, in milliseconds, of the first call of this method at which the incarnation had ended; undefined
     * while it has not ended.
     */
    endedSince(incarnation: string): number | undefined {
        if (!this.hasEnded(incarnation)) {
            this.endDetectedAt.delete(incarnation);
            return undefined;
        }
        const detectedAt = this.endDetectedAt.get(incarnation) ?? this.options.timer.now();
        this.endDetectedAt.set(incarnation, detectedAt);
        return detectedAt;
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

    /** Marks this entry as departed; call after it has returned its grants and nothing runs on it any more. */
    async leave(): Promise<void> {
        if (this.member !== undefined) {
            await this.runFlow(deregister(this.member));
        }
    }

    /** Reads the platform's list and the rows, and updates the view; returns at once while another poll runs. */
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
        const previous = this.current;
        const before = new Set(previous.members.live.map(member => member.incarnation));
        this.current = {
            members: rows === undefined
                ? previous.members
                : updateMemberView(previous.members, rows.filter(isMemberRow), list),
            vms: list?.vms ?? previous.vms,
            pools: list?.pools ?? previous.pools,
            poolRows: rows === undefined ? previous.poolRows : poolRowsOf(rows),
            vmRows: rows === undefined ? previous.vmRows : vmRowsOf(rows),
            evacuatedZones: previous.evacuatedZones,
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
