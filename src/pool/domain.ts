/**
 * Task that runs leader election for a domain. Follows the owner row and the members, receives the owner's heartbeats,
 * takes the domain over when they stop, and gives access to the owner's state of jobs, on this entry or on a peer.
 */
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import type { Task } from "../process/hub.js";
import { type Cancel, sleep } from "../process/timer.js";
import { ClusterFollower } from "./cluster-follower.js";
import type { DomainOptions, VmManager } from "./domain-options.js";
import { releaseTransaction } from "./ledger.js";
import { Membership } from "./membership.js";
import { OwnerClient } from "./owner-client.js";
import { OwnerFitness } from "./owner-fitness.js";
import { OwnerFollower } from "./owner-follower.js";
import { OwnerMessenger, OwnerTopic } from "./owner-messages.js";
import { OwnerView } from "./owner-view.js";
import { PeerLinks } from "./peer-links.js";
import { type CompletedTakeover, Takeover } from "./takeover.js";
import { Tenure } from "./tenure.js";

const heartbeatPeriodMs = 200;
const checkPeriodMs = 100;
const retryDelayMs = 200;
const memberCheckPeriodMs = 5000;
/**
 * Time from a takeover in which lag is no reason to release the domain: any new owner loads the jobs, asks all workers and
 * places what has waited, and the next one would do it all again.
 */
const settleMs = 3000;
/** The same after an owner that lagged: two in a row are a sign of load, which a handover only adds to. */
const settleAfterSlowOwnerMs = 10_000;

/** Why an owner releases the domain. */
enum ReleaseCause {
    Stopping = "stopping",
    /** Its process gets too little CPU time. */
    Slow = "slow",
    /** A clearly stronger VM is fit to be the owner. */
    Weaker = "weaker",
}

/** This entry's participation in a domain. */
export class Domain implements Task {
    readonly name = "domain";
    private readonly view: OwnerView;
    private readonly messenger: OwnerMessenger;
    private readonly follower: OwnerFollower;
    private readonly cluster: ClusterFollower;
    private currentTenure: Tenure | undefined;
    private currentSettleMs = settleMs;
    private vmManager: VmManager | undefined;
    private isRunning = false;
    private isStopping = false;
    /** Set during a takeover attempt or a check for a release, so that only one of them runs at a time. */
    private isChangingOwner = false;
    /** The takeover in progress, or the last one. */
    private attempt: Promise<void> = Promise.resolve();
    /** Client for the owner's state of jobs. */
    readonly ownerClient: OwnerClient;
    private readonly members: Membership;
    private readonly links: PeerLinks;
    private readonly fitness: OwnerFitness;
    private readonly takeover: Takeover;
    private readonly cancelTimers: Cancel[] = [];

    private constructor(private readonly options: DomainOptions) {
        this.members = Membership.create(options);
        this.view = OwnerView.create({ ...options, members: this.members });
        this.messenger = OwnerMessenger.create(options.peers);
        this.links = PeerLinks.create({ ...options, members: this.members });
        this.fitness = OwnerFitness.create({ ...options, members: this.members, links: this.links });
        this.follower = OwnerFollower.create({
            ...options,
            view: this.view,
            members: this.members,
            links: this.links,
            messenger: this.messenger,
            tenure: () => this.currentTenure,
            onVacant: () => void this.checkOwnership(),
        });
        this.cluster = ClusterFollower.create({
            ...options,
            members: this.members,
            isRunning: () => this.isRunning,
            onOwnerRow: row => this.follower.applyRow(row),
            onMembers: ({ fromStore }) => this.handleMembers(fromStore),
        });
        this.takeover = Takeover.create({
            ...options,
            view: this.view,
            links: this.links,
            fitness: this.fitness,
            messenger: this.messenger,
            isStopping: () => this.isStopping,
            onOwnerRow: row => this.follower.applyRow(row),
            onTaken: taken => this.beginTenure(taken),
        });
        this.ownerClient = OwnerClient.create({
            peers: options.peers,
            metrics: options.metrics,
            log: options.log,
            tenure: () => this.currentTenure,
            owner: () => this.view.owner?.entry,
        });
    }

    static create(options: DomainOptions): Domain {
        return new Domain(options);
    }

    /** This entry's tenure while it is the owner. */
    get tenure(): Tenure | undefined {
        return this.currentTenure;
    }

    /** Entry that owns the domain, as far as known. */
    get ownerEntry(): string | undefined {
        return this.follower.ownerEntry;
    }

    start(): Promise<void> {
        const { timer } = this.options;
        this.isRunning = true;
        this.options.lag.start();
        this.follower.start();
        this.cancelTimers.push(timer.every(heartbeatPeriodMs, () => this.sendHeartbeat()));
        this.cancelTimers.push(timer.every(checkPeriodMs, () => void this.checkOwnership()));
        this.cancelTimers.push(
            timer.every(
                memberCheckPeriodMs,
                () => void this.members.removeSilentMembers(this.currentTenure !== undefined),
            ),
        );
        void this.cluster.follow();
        return Promise.resolve();
    }

    /** Releases the domain, if this entry owns it, and removes this entry from the members. */
    async stop(): Promise<void> {
        this.isStopping = true;
        this.fitness.isStopping = true;
        await Promise.all([
            Promise.allSettled([this.attempt]).then(() => this.releaseOwnership(ReleaseCause.Stopping)),
            this.members.leave(),
        ]);
        this.isRunning = false;
        this.options.lag.stop();
        this.cancelTimers.forEach(cancel => cancel());
    }

    /** Ends this entry's tenure and releases the domain, so that another entry can take it over without waiting. */
    private async releaseOwnership(cause: ReleaseCause): Promise<void> {
        const { store, log, metrics, lag } = this.options;
        const tenure = this.currentTenure;
        if (tenure === undefined) {
            return;
        }
        const lagMs = Math.round(lag.medianMs);
        await this.vmManager?.stop();
        const { head, leaseBounds } = await tenure.handOver();
        this.currentTenure = undefined;
        const flags = {
            hasLeft: this.isStopping,
            wasSlow: cause === ReleaseCause.Slow,
        };
        const rows = [leaseBounds, this.vmManager?.handOverRow()].filter(row => row !== undefined);
        const outcome = await store.transact(releaseTransaction(head, flags, rows));
        this.view.setOwner({ ...head.owner, entry: "" });
        this.view.markSeen();
        this.messenger.announceEnd(OwnerTopic.Released, head.owner.fence);
        metrics.count("celerywind_owner_releases_total", { cause });
        log.write(Severity.Info, EventId.OwnerReleased, {
            fence: head.owner.fence,
            cause,
            lagMs,
            tenureMs: Math.round(tenure.ageMs),
            outcome: outcome.kind,
        });
    }

    /** Releases the domain when this process is too slow, or when a clearly stronger entry is fit to take it over. */
    private async yieldIfUnfit(tenure: Tenure): Promise<void> {
        const { lag, peers } = this.options;
        if (this.isChangingOwner || peers.connected().length === 0) {
            return;
        }
        this.isChangingOwner = true;
        try {
            const cause = lag.isLagging && tenure.ageMs >= this.currentSettleMs
                ? ReleaseCause.Slow
                : await this.fitness.hasStrongerCandidate()
                ? ReleaseCause.Weaker
                : undefined;
            if (cause !== undefined) {
                this.fitness.startDeferring();
                await this.releaseOwnership(cause);
            }
        }
        finally {
            this.isChangingOwner = false;
        }
    }

    /** Names of the registered entries. */
    get memberNames(): readonly string[] {
        return this.members.entryNames;
    }

    private sendHeartbeat(): void {
        if (this.currentTenure !== undefined) {
            const { store, incarnation, entry } = this.options;
            const { fence } = this.currentTenure;
            const successors = this.links.successors.filter(successor => successor !== entry);
            this.messenger.sendHeartbeat({ fence, incarnation, storeAgeMs: store.ageMs }, successors);
        }
    }

    private async checkOwnership(): Promise<void> {
        if (this.currentTenure?.isReady === true && !this.isStopping) {
            await this.yieldIfUnfit(this.currentTenure);
            return;
        }
        if (
            this.isChangingOwner || this.currentTenure !== undefined || !this.isRunning
            || this.view.hearsOwner() || !this.takeover.isDue(this.view.silentMs)
        ) {
            return;
        }
        this.isChangingOwner = true;
        try {
            this.attempt = this.takeover.attempt();
            await this.attempt;
        }
        catch (err) {
            this.options.log.write(Severity.Warn, EventId.StoreUnavailable, { err: messageOf(err) });
            await sleep(this.options.timer, retryDelayMs);
        }
        finally {
            this.isChangingOwner = false;
        }
    }

    private async beginTenure(
        { head, previous, leaseBounds, suspicion }: CompletedTakeover,
    ): Promise<void> {
        const { log, metrics } = this.options;
        const isPreviousGone = this.view.hasStoppedOrdering(previous);
        metrics.count("celerywind_owner_takeovers_total", {
            previous: isPreviousGone ? "ended" : "may-order",
        });
        this.currentSettleMs = previous?.wasSlow === true ? settleAfterSlowOwnerMs : settleMs;
        this.view.setOwner(head.owner);
        this.view.lastHeartbeat = undefined;
        log.write(Severity.Info, EventId.OwnerTaken, {
            domain: head.domain,
            fence: head.owner.fence,
            previous: previous?.entry,
            isPreviousGone,
            earlierOwners: leaseBounds.owners.length,
            boundWorkers: leaseBounds.workers.length,
        });
        const tenure = Tenure.create({
            ...this.options,
            head,
            leaseBounds,
            hasPredecessor: previous !== undefined,
            suspicion,
            onSuperseded: () => this.handleSuperseded(tenure),
        });
        this.currentTenure = tenure;
        // An earlier owner may have reported its end while the takeover was being stored.
        this.follower.checkEarlierOwners();
        this.view.markSeen();
        this.fitness.scheduleComparison();
        this.messenger.restartHeartbeats();
        this.follower.updateLinks();
        this.sendHeartbeat();
        this.vmManager = this.options.createVmManager(tenure);
        this.vmManager.start();
        await tenure.start();
    }

    private handleSuperseded(tenure: Tenure): void {
        if (this.currentTenure === tenure) {
            this.vmManager?.abort();
            this.currentTenure = undefined;
            this.view.markSeen();
            this.view.lastHeartbeat = undefined;
            this.messenger.announceEnd(OwnerTopic.SteppedDown, tenure.fence);
        }
    }

    private handleMembers(isFromStore: boolean): void {
        this.follower.updateLinks();
        if (isFromStore) {
            this.follower.checkEarlierOwners();
        }
    }
}
