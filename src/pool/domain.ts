/**
 * Task that takes part in the ownership of a domain: follows the owner row and the members, hears the owner, takes
 * the domain over when the owner falls silent, and answers questions about jobs here or at the owner.
 */
import type { AcceptedJob, JobPhase } from "../job/index.js";
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import { run } from "../process/flow.js";
import type { Task } from "../process/hub.js";
import type { LagMeter } from "../process/lag.js";
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import type { Peer, Peers } from "../process/peers.js";
import { readAll, readRow, type RowStore, type StoredRow } from "../process/rows.js";
import { type Cancel, sleep, type Timer } from "../process/timer.js";
import type { Directory } from "../version/directory.js";
import { type ExplainedJob, explainJob } from "./explain.js";
import { takeOver } from "./ledger.js";
import type { LedgerEffect } from "./ledger.js";
import { release } from "./ledger.js";
import { decodeMember, memberKey, memberPart, type MemberRow } from "./member-rows.js";
import { decodeOwner, type Owner, ownerKey, ownerSilenceMs, shouldTakeOver, tables } from "./ownership.js";
import type { Adviser, Roster, WorkerCalls } from "./ports.js";
import type { TenureTimes } from "./tenure-context.js";
import { Tenure } from "./tenure.js";

/** Options of `Domain.create`. */
export interface DomainOptions {
    readonly name: string;
    readonly entry: string;
    readonly incarnation: string;
    readonly peerUrl: string;
    readonly store: RowStore & { readonly ageMs: number };
    readonly peers: Peers;
    readonly roster: Roster;
    readonly calls: WorkerCalls;
    readonly adviser: Adviser;
    readonly directory: () => Directory | undefined;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly times: TenureTimes;
    readonly lag: LagMeter;
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
    Accepted = "job.accepted",
    Cancelled = "job.cancelled",
    Phase = "job.phase",
    Pending = "queue.pending",
    Members = "members",
    Explain = "job.explain",
}

const beaconMs = 200;
const checkMs = 100;
/** How long an entry that gave the domain up for slowness leaves it to others, in milliseconds. */
const standBackMs = 5000;
/** Places by which a slow entry stands back behind the others when the domain has no owner. */
const slowRank = 12;
const feedWaitMs = 4000;
const retryMs = 200;
const heardTimeoutMs = 200;
const questionMs = 500;
/** Longest time for a read of the owner row by which this entry counts as better placed than the owner. */
const quickProbeMs = 300;
/** Pause after a takeover that another entry won. */
const lostRacePauseMs = 500;
/** Silence after which a member's row is removed by the owner; a living member writes it again. */
const memberSilenceMs = 30_000;
const memberSweepMs = 5000;

/** The phase of a job, or that it is unknown; undefined without a sound answer. */
export type PhaseAnswer = { readonly phase: JobPhase | undefined } | undefined;

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
    private standBackUntil = -Infinity;
    private keeper: Keeper | undefined;
    private isRunning = false;
    private isStopping = false;
    private isBusy = false;
    private readonly members = new Map<string, MemberRow>();
    private readonly cancels: Cancel[] = [];
    private readonly memberHeardAt = new Map<string, number>();

    private constructor(private readonly options: DomainOptions) {
        this.heardAt = options.timer.now();
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
        this.cancels.push(timer.every(memberSweepMs, () => void this.sweepMembers()));
        void this.follow();
        return Promise.resolve();
    }

    /** Hands the domain over, if it is owned here, and leaves the members. */
    async stop(): Promise<void> {
        const { store, log, peers, entry } = this.options;
        this.isStopping = true;
        const tenure = this.current;
        if (tenure !== undefined) {
            await this.keeper?.stop();
            const head = await tenure.handOver();
            this.current = undefined;
            const outcome = await store.transact(release(head, this.isStopping));
            peers.broadcast(Topic.Released, { fence: head.owner.fence });
            log.write(Severity.Info, EventId.OwnerReleased, {
                fence: head.owner.fence,
                outcome: outcome.kind,
            });
        }
        const left = await store.transact({ conditions: [], puts: [], removals: [memberKey(entry)] });
        log.write(Severity.Info, EventId.MemberGone, { entry, outcome: left.kind });
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

    /** Gives the domain up when this process is too slow for it and another entry can take it. */
    private async giveWay(): Promise<void> {
        const { lag, peers } = this.options;
        if (this.isBusy || !lag.isSlow || peers.connected().length === 0) {
            return;
        }
        this.isBusy = true;
        this.standBackUntil = this.options.timer.now() + standBackMs;
        try {
            await this.giveUp("slow");
        }
        finally {
            this.isBusy = false;
        }
    }

    /** Tells the owner of a job that was just stored. */
    tellAccepted(job: AcceptedJob): void {
        this.tell(tenure => tenure.accept(job), Topic.Accepted, job);
    }

    /** Tells the owner of a cancellation that was just stored. */
    tellCancelled(id: string): void {
        this.tell(tenure => tenure.cancel(id), Topic.Cancelled, { id });
    }

    /** Asks the owner for the phase of a job. */
    async phaseOf(id: string): Promise<PhaseAnswer> {
        return this.current === undefined
            ? await this.askOwner(Topic.Phase, { id }) as PhaseAnswer
            : this.answerPhase(id);
    }

    /** Asks the owner how many jobs of a queue have not begun; undefined without a sound answer. */
    async pendingOf(queue: string): Promise<number | undefined> {
        return this.current === undefined
            ? await this.askOwner(Topic.Pending, { queue }) as number | undefined
            : this.answerPending(queue);
    }

    /** What the owner knows of a job; undefined when it does not know it or did not answer. */
    async explain(id: string): Promise<ExplainedJob | undefined> {
        return this.current === undefined
            ? await this.askOwner(Topic.Explain, { id }) as ExplainedJob | undefined
            : this.explainHere(id);
    }

    /** Entries that have registered. */
    get memberNames(): readonly string[] {
        return [...this.members.keys()];
    }

    private explainHere(id: string): ExplainedJob | undefined {
        const entry = this.current?.jobs.entries.get(id);
        return this.current === undefined || entry === undefined
            ? undefined
            : explainJob(this.current, entry);
    }

    private tell(here: (tenure: Tenure) => void, topic: Topic, body: unknown): void {
        if (this.current !== undefined) {
            here(this.current);
        }
        else if (this.owner !== undefined) {
            this.options.peers.notify(this.owner.entry, topic, body);
        }
    }

    private async askOwner(topic: Topic, body: unknown): Promise<unknown> {
        if (this.owner === undefined || this.owner.entry === "") {
            return undefined;
        }
        try {
            return await this.options.peers.ask(this.owner.entry, topic, body, questionMs);
        }
        catch (err) {
            this.options.metrics.count("celerywind_owner_questions_failed_total", { topic });
            this.options.log.write(Severity.Info, EventId.OwnerSuspected, { topic, err: messageOf(err) });
            return undefined;
        }
    }

    private answerPhase(id: string): PhaseAnswer {
        return this.current?.isReady === true ? { phase: this.current.phaseOf(id) } : undefined;
    }

    private answerPending(queue: string): number | undefined {
        return this.current?.isReady === true ? this.current.pendingOf(queue) : undefined;
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
        peers.on(Topic.Accepted, (_, body) => this.current?.accept(body as AcceptedJob));
        peers.on(Topic.Cancelled, (_, body) => this.current?.cancel((body as { id: string }).id));
        peers.on(Topic.Phase, (_, body) => this.answerPhase((body as { id: string }).id));
        peers.on(Topic.Pending, (_, body) => this.answerPending((body as { queue: string }).queue));
        peers.on(Topic.Explain, (_, body) => this.explainHere((body as { id: string }).id));
        peers.on(Topic.Members, () => [...this.members.entries()]);
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
        const { entry, peers } = this.options;
        const candidates = [entry, ...peers.connected().map(({ vm }) => vm)]
            .filter(vm => vm !== this.owner?.entry)
            .sort();
        return shouldTakeOver({
            self: entry,
            owner: this.owner,
            isOwnerGone: this.hasEnded(this.owner),
            ownerSilentMs,
            ownerStoreAgeMs: this.beacon === undefined ? 0 : this.beacon.storeAgeMs,
            storeAgeMs,
            rank: candidates.indexOf(entry) + (this.standsBack() ? slowRank : 0),
            isStopping: this.isStopping,
        });
    }

    /** Whether this process is slow, or was so a moment ago. */
    private standsBack(): boolean {
        return this.options.lag.isSlow || this.options.timer.now() < this.standBackUntil;
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
        const result = await run(
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
        const current = owner.entry === entry ? incarnation : this.members.get(owner.entry)?.incarnation;
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
            .map(({ vm }) => peers.ask(vm, Topic.Heard, {}, heardTimeoutMs));
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
                await this.askMembers();
                await sleep(timer, retryMs);
            }
        }
    }

    private async readCluster(): Promise<number> {
        const { store, name } = this.options;
        const owner = await readRow(store, ownerKey(name));
        const page = await readAll(store, { table: tables.cluster, part: memberPart });
        this.noteOwnerRow(owner);
        page.rows.forEach(row => this.noteMember(row));
        await this.register();
        this.options.onMembers(this.members);
        return page.version;
    }

    private async feedCluster(version: number): Promise<number | undefined> {
        const result = await this.options.store.feed(tables.cluster, version, feedWaitMs);
        if (result.kind === "history-lost") {
            this.members.clear();
            return undefined;
        }
        const { key } = ownerKey(this.options.name);
        for (const row of result.rows) {
            if (row.part === memberPart) {
                this.noteMember(row);
            }
            else if (row.key === key && row.part === this.options.name) {
                this.noteOwnerRow(row);
            }
        }
        if (result.rows.length > 0) {
            await this.register();
            this.options.onMembers(this.members);
        }
        return Math.max(version, result.version);
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

    private noteMember(row: StoredRow): void {
        const member = decodeMember(row);
        if (member === undefined) {
            this.members.delete(row.key);
        }
        else {
            this.members.set(row.key, member);
            if (this.predecessor !== undefined && this.hasEnded(this.predecessor)) {
                this.notePredecessorGone(this.predecessor.fence);
            }
        }
    }

    private async register(): Promise<void> {
        const { entry, incarnation, peerUrl, store, log } = this.options;
        if (this.isStopping || this.members.get(entry)?.incarnation === incarnation) {
            return;
        }
        const member: MemberRow = { incarnation, url: peerUrl };
        const outcome = await store.transact({
            conditions: [],
            puts: [{ ...memberKey(entry), value: JSON.stringify(member) }],
            removals: [],
        });
        log.write(Severity.Info, EventId.MemberRegistered, { entry, incarnation, outcome: outcome.kind });
        this.members.set(entry, member);
    }

    /** Learns the members from a peer while the store does not answer. */
    private async askMembers(): Promise<void> {
        const { peers, onMembers, log } = this.options;
        const [peer] = peers.connected();
        if (peer === undefined || this.members.size > 0) {
            return;
        }
        try {
            const rows = await peers.ask(peer.vm, Topic.Members, {}, questionMs) as [string, MemberRow][];
            rows.forEach(([entry, member]) => this.members.set(entry, member));
            onMembers(this.members);
        }
        catch (err) {
            log.write(Severity.Warn, EventId.PeerLost, { peer: peer.vm, err: messageOf(err) });
        }
    }

    /** Removes the rows of members that the owner has not heard for long. */
    private async sweepMembers(): Promise<void> {
        const { peers, timer, entry, store, log } = this.options;
        const now = timer.now();
        peers.connected().forEach(({ vm }) => this.memberHeardAt.set(vm, now));
        if (this.current === undefined) {
            return;
        }
        for (const member of this.members.keys()) {
            const heardAt = this.memberHeardAt.get(member) ?? now;
            this.memberHeardAt.set(member, heardAt);
            if (member !== entry && now - heardAt > memberSilenceMs) {
                this.memberHeardAt.delete(member);
                const outcome = await store.transact({
                    conditions: [],
                    puts: [],
                    removals: [memberKey(member)],
                });
                log.write(Severity.Info, EventId.MemberGone, { entry: member, outcome: outcome.kind });
            }
        }
    }
}
