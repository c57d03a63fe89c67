/**
 * Task that takes part in the ownership of a domain: follows the owner row and the members, hears the owner, takes
 * the domain over when the owner falls silent, and answers questions about jobs here or at the owner.
 */
import { messageOf } from "../process/errors.js";
import type { EventLoopLagMonitor } from "../process/event-loop-lag.js";
import { EventId, Severity } from "../process/events.js";
import { runFlow } from "../process/flow.js";
import type { Task } from "../process/hub.js";
import type { Peer, Peers } from "../process/peers.js";
import { readRow, type RowStore, type StoredRow } from "../process/rows.js";
import { type Cancel, sleep } from "../process/timer.js";
import { type LedgerEffect, release, takeOver } from "./ledger.js";
import { memberPart, type MemberRow } from "./member-rows.js";
import { Membership } from "./membership.js";
import { OwnerLine } from "./owner-line.js";
import { decodeOwner, type Owner, ownerKey, ownerSilenceMs, shouldTakeOver, tables } from "./ownership.js";
import { quickProbeMs, Standing } from "./standing.js";
import type { TenureOptions } from "./tenure-context.js";
import { Tenure } from "./tenure.js";

/** Options of `Domain.create`. */
export interface DomainOptions extends
    Pick<
        TenureOptions,
        "roster" | "calls" | "adviser" | "directory" | "timer" | "log" | "metrics" | "times"
    >
{
    readonly name: string;
    readonly entry: string;
    readonly incarnation: string;
    readonly peerUrl: string;
    /** Strength of this entry's VM. */
    readonly strength: number;
    readonly store: RowStore & { readonly ageMs: number };
    readonly peers: Peers;
    readonly lag: EventLoopLagMonitor;
    /** Called when the members change. */
    readonly onMembers: (members: ReadonlyMap<string, MemberRow>) => void;
    /** Makes the keeper of the VMs for a tenure that begins. */
    readonly keeper: (tenure: Tenure, hasHolderEnded: boolean) => Keeper;
}

/** Looks after the VMs during a tenure. */
export interface Keeper {
    start(): void;
    stop(): Promise<void>;
}

interface Beacon {
    readonly fence: number;
    readonly incarnation: string;
    readonly storeAgeMs: number;
}

/** Notices and questions between entries about a domain. */
enum Topic {
    Beacon = "owner.beacon",
    Heard = "owner.heard",
    Released = "owner.released",
    SteppedDown = "owner.stepped-down",
}

const beaconMs = 200;
const checkMs = 100;
const feedWaitMs = 4000;
const retryMs = 200;
const heardTimeoutMs = 200;
/** Pause after a takeover that another entry won. */
const lostRacePauseMs = 500;
const memberSweepMs = 5000;

/** This entry's part in a domain. */
export class Domain implements Task {
    readonly name = "domain";
    private owner: Owner | undefined;
    private heardAt: number;
    private beacon: Beacon | undefined;
    private current: Tenure | undefined;
    /** The owner before this entry's tenure, while it may still give orders. */
    private predecessor: Owner | undefined;
    /** Highest fence whose owner is known to give no more orders. */
    private goneFence = 0;
    private keeper: Keeper | undefined;
    private isRunning = false;
    private isStopping = false;
    private isBusy = false;
    /** How to speak with the owner about jobs. */
    readonly line: OwnerLine;
    private readonly members: Membership;
    private readonly standing: Standing;
    private readonly cancels: Cancel[] = [];

    private constructor(private readonly options: DomainOptions) {
        this.heardAt = options.timer.now();
        this.members = Membership.create(options);
        this.standing = Standing.create({ ...options, members: this.members });
        const { peers, metrics, log } = options;
        this.line = OwnerLine.create({
            peers,
            metrics,
            log,
            tenure: () => this.current,
            owner: () => this.owner?.entry,
        });
    }

    static create(options: DomainOptions): Domain {
        return new Domain(options);
    }

    /** This entry's tenure, while it is the owner. */
    get tenure(): Tenure | undefined {
        return this.current;
    }

    /** Entry that owns the domain, as far as known. */
    get ownerEntry(): string | undefined {
        return this.current === undefined ? this.owner?.entry : this.options.entry;
    }

    start(): Promise<void> {
        const { timer } = this.options;
        this.isRunning = true;
        this.options.lag.start();
        this.listen();
        this.cancels.push(timer.every(beaconMs, () => this.sendBeacon()));
        this.cancels.push(timer.every(checkMs, () => void this.check()));
        this.cancels.push(
            timer.every(memberSweepMs, () => void this.members.sweep(this.current !== undefined)),
        );
        void this.follow();
        return Promise.resolve();
    }

    /** Hands the domain over, if it is owned here, and leaves the members. */
    async stop(): Promise<void> {
        this.isStopping = true;
        this.standing.isStopping = true;
        await Promise.all([this.giveUp("stopping"), this.members.leave()]);
        this.isRunning = false;
        this.options.lag.stop();
        this.cancels.forEach(cancel => cancel());
    }

    /** Stops ordering and lets another entry take the domain over without waiting. */
    private async giveUp(cause: string): Promise<void> {
        const { store, log, peers, lag } = this.options;
        const tenure = this.current;
        if (tenure === undefined) {
            return;
        }
        await this.keeper?.stop();
        const head = await tenure.handOver();
        this.current = undefined;
        const outcome = await store.transact(release(head, this.isStopping));
        this.owner = { ...head.owner, entry: "" };
        this.heardAt = this.options.timer.now();
        peers.broadcast(Topic.Released, { fence: head.owner.fence });
        log.write(Severity.Info, EventId.OwnerReleased, {
            fence: head.owner.fence,
            cause,
            lagMs: Math.round(lag.medianMs),
            outcome: outcome.kind,
        });
    }

    /** Gives the domain up when this process is too slow for it, or a clearly stronger entry would take it. */
    private async giveWay(): Promise<void> {
        const { lag, peers } = this.options;
        if (this.isBusy || peers.connected().length === 0) {
            return;
        }
        this.isBusy = true;
        try {
            const cause = lag.isLagging ? "slow" : await this.standing.isOutclassed() ? "weaker" : undefined;
            if (cause !== undefined) {
                this.standing.standBack();
                await this.giveUp(cause);
            }
        }
        finally {
            this.isBusy = false;
        }
    }

    /** Entries that have registered. */
    get memberNames(): readonly string[] {
        return this.members.names;
    }

    private listen(): void {
        const { peers, timer } = this.options;
        peers.on(Topic.Beacon, (peer, body) => this.hearBeacon(peer, body as Beacon));
        peers.on(
            Topic.Heard,
            () => ({ silentMs: timer.now() - this.heardAt, isOwner: this.current !== undefined }),
        );
        peers.on(Topic.Released, (_, body) => this.hearRelease((body as { fence: number }).fence));
        peers.on(Topic.SteppedDown, (_, body) => this.notePredecessorGone((body as { fence: number }).fence));
    }

    private sendBeacon(): void {
        if (this.current !== undefined) {
            const { store, incarnation } = this.options;
            const word: Beacon = { fence: this.current.fence, incarnation, storeAgeMs: store.ageMs };
            this.options.peers.broadcast(Topic.Beacon, word);
        }
    }

    private hearBeacon(peer: Peer, word: Beacon): void {
        if (word.fence < (this.owner?.fence ?? 0)) {
            return;
        }
        if (this.current !== undefined) {
            if (word.fence > this.current.fence) {
                this.current.supersede(`"${peer.vm}" has a higher fence`);
            }
            else {
                return;
            }
        }
        if (peer.vm !== this.owner?.entry || word.fence !== this.owner.fence) {
            this.owner = { entry: peer.vm, incarnation: word.incarnation, fence: word.fence };
        }
        this.heardAt = this.options.timer.now();
        this.beacon = word;
    }

    private hearRelease(fence: number): void {
        if (this.owner !== undefined && this.owner.fence === fence) {
            this.owner = { ...this.owner, entry: "" };
            void this.check();
        }
    }

    private async check(): Promise<void> {
        if (this.current?.isReady === true && !this.isStopping) {
            await this.giveWay();
            return;
        }
        if (
            this.isBusy || this.current !== undefined || !this.isRunning
            || !this.wouldTakeOver(this.silentMs())
        ) {
            return;
        }
        this.isBusy = true;
        try {
            await this.tryTakeOver();
        }
        catch (err) {
            this.options.log.write(Severity.Warn, EventId.StoreUnavailable, { err: messageOf(err) });
            await sleep(this.options.timer, retryMs);
        }
        finally {
            this.isBusy = false;
        }
    }

    private silentMs(): number {
        return this.options.timer.now() - this.heardAt;
    }

    private wouldTakeOver(ownerSilentMs: number, storeAgeMs = 0): boolean {
        const { entry } = this.options;
        return shouldTakeOver({
            self: entry,
            owner: this.owner,
            isOwnerGone: this.hasEnded(this.owner),
            ownerSilentMs,
            ownerStoreAgeMs: this.beacon === undefined ? 0 : this.beacon.storeAgeMs,
            storeAgeMs,
            rank: this.standing.rank(this.owner?.entry),
            isStopping: this.isStopping,
        });
    }

    private async tryTakeOver(): Promise<void> {
        const { store, timer, log, name, entry, incarnation } = this.options;
        const probedAt = timer.now();
        const row = await readRow(store, ownerKey(name));
        const probeMs = timer.now() - probedAt;
        this.noteOwnerRow(row);
        const silentMs = await this.leastSilence();
        const isBlind = silentMs <= ownerSilenceMs && probeMs > quickProbeMs;
        if (isBlind || !this.wouldTakeOver(silentMs, probeMs)) {
            return;
        }
        log.write(Severity.Warn, EventId.OwnerSuspected, {
            owner: this.owner?.entry,
            fence: this.owner?.fence,
            silentMs: Math.round(silentMs),
            ownerStoreAgeMs: Math.round(this.beacon?.storeAgeMs ?? 0),
            probeMs: Math.round(probeMs),
        });
        const suspectFence = this.owner?.fence ?? 0;
        const result = await runFlow(
            takeOver(name, { entry, incarnation, suspectFence }),
            effect => this.performLedger(effect),
        );
        switch (result.kind) {
            case "lost":
                this.heardAt = Math.max(this.heardAt, timer.now() - ownerSilenceMs + lostRacePauseMs);
                return;
            case "taken":
                await this.begin(result.head, result.previous);
        }
    }

    private async begin(
        head: Parameters<typeof Tenure.create>[0]["head"],
        previous: Owner | undefined,
    ): Promise<void> {
        const { log, timer } = this.options;
        const isPreviousGone = this.isGone(previous);
        this.owner = head.owner;
        this.beacon = undefined;
        log.write(Severity.Info, EventId.OwnerTaken, {
            domain: head.domain,
            fence: head.owner.fence,
            previous: previous?.entry,
            isPreviousGone,
        });
        const tenure = Tenure.create({
            ...this.options,
            head,
            isPreviousGone,
            onSuperseded: () => this.noteSuperseded(tenure),
        });
        this.current = tenure;
        this.predecessor = isPreviousGone ? undefined : previous;
        this.heardAt = timer.now();
        this.standing.begin();
        this.sendBeacon();
        this.keeper = this.options.keeper(tenure, this.hasHolderEnded(previous));
        this.keeper.start();
        await tenure.start();
    }

    /** Whether an earlier owner can give no more orders: it gave up, or its VM runs another process by now. */
    private isGone(previous: Owner | undefined): boolean {
        return previous === undefined || previous.entry === "" || previous.entry === this.options.entry
            || previous.fence <= this.goneFence || this.hasEnded(previous);
    }

    /** Whether the process that ordered VMs before this one has ended or is ending. */
    private hasHolderEnded(previous: Owner | undefined): boolean {
        return previous === undefined || previous.entry === this.options.entry || this.hasEnded(previous)
            || (previous.entry === "" && previous.hasLeft === true);
    }

    /** Whether the VM of an owner runs another process by now. */
    private hasEnded(owner: Owner | undefined): boolean {
        if (owner === undefined || owner.incarnation === "") {
            return false;
        }
        const { entry, incarnation } = this.options;
        const current = owner.entry === entry ? incarnation : this.members.incarnationOf(owner.entry);
        return current !== undefined && current !== owner.incarnation;
    }

    /** Notes that the owner before this entry gives no more orders, so that its leases end soon. */
    private notePredecessorGone(fence: number): void {
        this.goneFence = Math.max(this.goneFence, fence);
        if (this.current !== undefined && this.predecessor?.fence === fence) {
            this.predecessor = undefined;
            this.current.notePredecessorGone();
        }
    }

    private noteSuperseded(tenure: Tenure): void {
        if (this.current === tenure) {
            void this.keeper?.stop();
            this.current = undefined;
            this.heardAt = this.options.timer.now();
            this.beacon = undefined;
            this.options.peers.broadcast(Topic.SteppedDown, { fence: tenure.fence });
        }
    }

    /** Least time since any entry that answers has heard the owner. */
    private async leastSilence(): Promise<number> {
        const { peers } = this.options;
        const asked = peers.connected()
            .filter(({ vm }) => vm !== this.owner?.entry)
            .map(({ vm }) => peers.request(vm, Topic.Heard, {}, heardTimeoutMs));
        const words = await Promise.allSettled(asked);
        const silences = words.map(word =>
            word.status === "fulfilled" ? (word.value as { silentMs: number }).silentMs : Infinity
        );
        return Math.min(this.silentMs(), ...silences);
    }

    private async performLedger(effect: LedgerEffect): Promise<unknown> {
        const { store, timer, name } = this.options;
        switch (effect.kind) {
            case "transact":
                return store.transact(effect.tx);
            case "read-owner":
                return readRow(store, ownerKey(name));
            case "pause":
                await sleep(timer, effect.ms);
                return undefined;
        }
    }

    // Members and the owner row

    private async follow(): Promise<void> {
        const { timer, log } = this.options;
        let version: number | undefined;
        let isLost = false;
        while (this.isRunning) {
            try {
                version = version === undefined ? await this.readCluster() : await this.feedCluster(version);
                isLost = false;
            }
            catch (err) {
                if (!isLost) {
                    const fields = { table: tables.cluster, err: messageOf(err) };
                    log.write(Severity.Warn, EventId.StoreUnavailable, fields);
                }
                isLost = true;
                await this.members.askPeer();
                await sleep(timer, retryMs);
            }
        }
    }

    private async readCluster(): Promise<number> {
        const { store, name } = this.options;
        this.noteOwnerRow(await readRow(store, ownerKey(name)));
        const version = await this.members.load();
        this.checkPredecessor();
        return version;
    }

    private async feedCluster(version: number): Promise<number | undefined> {
        const result = await this.options.store.feed(tables.cluster, version, feedWaitMs);
        if (result.kind === "history-lost") {
            return undefined;
        }
        const { key, part } = ownerKey(this.options.name);
        for (const row of result.rows) {
            if (row.part === memberPart) {
                this.members.note(row);
            }
            else if (row.key === key && row.part === part) {
                this.noteOwnerRow(row);
            }
        }
        await this.members.settle();
        this.checkPredecessor();
        return Math.max(version, result.version);
    }

    /** Notices that the VM of the owner before this one runs another process by now. */
    private checkPredecessor(): void {
        if (this.predecessor !== undefined && this.hasEnded(this.predecessor)) {
            this.notePredecessorGone(this.predecessor.fence);
        }
    }

    private noteOwnerRow(row: StoredRow | undefined): void {
        const owner = decodeOwner(row);
        if (owner === undefined || owner.fence < (this.owner?.fence ?? 0)) {
            return;
        }
        const isNew = owner.fence > (this.owner?.fence ?? 0) || owner.entry !== this.owner?.entry;
        this.owner = owner;
        if (isNew) {
            this.beacon = undefined;
            this.heardAt = this.options.timer.now();
            if (this.current !== undefined && owner.fence > this.current.fence) {
                this.current.supersede("the owner row names another entry");
            }
            if (owner.entry === "") {
                void this.check();
            }
        }
    }
}
