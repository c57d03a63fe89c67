/**
 * Task that maintains this entry's replica of the configuration: lists, keys and evacuated zones in force. A revision
 * replaces only a lower one. Each change accepted here is pushed to the peers. The withdrawal of a key takes effect before it
 * is stored.
 */
import { OperatorError, RevisionConflictError } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import { FailureLog } from "../process/failure-log.js";
import { runFlow } from "../process/flow.js";
import { type Publish, type Task, Topic } from "../process/hub.js";
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import type { Peers } from "../process/peers.js";
import { type Store, type StoreFlow } from "../process/store.js";
import { type Cancel, sleep, type Timer } from "../process/timer.js";
import { logZoneChanges } from "./evacuated-zones.js";
import { createKey } from "./keys.js";
import {
    catchUp,
    type Proposal,
    ProposalKind,
    propose,
    revisionsPerSnapshot,
    saveSnapshot,
} from "./revision-log.js";
import type { Lists } from "./schema.js";
import {
    applyChange,
    type Change,
    ChangeKind,
    type ConfigurationState,
    deserializeState,
    initialState,
    type SerializedState,
    serializeState,
} from "./state.js";

/** Options of `ConfigurationReplica.create`. */
export interface ConfigurationReplicaOptions {
    readonly store: Store;
    readonly publish: Publish;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly peers: Peers;
    readonly pollIntervalMs?: number;
}

/** Result of a withdrawal of a key. */
export interface Withdrawal {
    readonly id: string;
    readonly isStored: boolean;
    /** Number of entries on which the withdrawal is confirmed to be in force, this one included. */
    readonly inForce: number;
}

/** A change of the order about a zone. */
export type ZoneChange = Extract<Change, { kind: ChangeKind.ZoneEvacuated | ChangeKind.ZoneRestored }>;

interface RevisionPush {
    readonly revision: number;
    readonly change: Change;
}

const pushTopic = "version.push";
const stateTopic = "version.state";
const withdrawTopic = "version.withdraw";
const peerRequestTimeoutMs = 1000;
const withdrawalStoreTimeoutMs = 1500;
const maxProposalAttempts = 50;
const proposalRetryDelayMs = 20;

/** Replica of the configuration at one entry. */
export class ConfigurationReplica implements Task {
    readonly name = "versions";
    private currentState = initialState;
    private readonly unstoredWithdrawals = new Set<string>();
    private readonly cancels: Cancel[] = [];
    private isPolling = false;
    private isStoringWithdrawals = false;
    private snapshotRevision = 0;
    private lastConfirmedAt = -Infinity;
    private readonly failureLog: FailureLog;

    private constructor(private readonly options: ConfigurationReplicaOptions) {
        const { peers, log } = options;
        this.failureLog = FailureLog.create({ log, source: this.name });
        peers.on(pushTopic, (_, body) => this.receivePush(body as RevisionPush));
        peers.on(
            stateTopic,
            () => ({ state: serializeState(this.currentState), pending: [...this.unstoredWithdrawals] }),
        );
        peers.on(
            withdrawTopic,
            (_, body) => this.addPendingWithdrawals((body as { ids: readonly string[] }).ids),
        );
    }

    static create(options: ConfigurationReplicaOptions): ConfigurationReplica {
        return new ConfigurationReplica(options);
    }

    /** The configuration in force. */
    get state(): ConfigurationState {
        return this.currentState;
    }

    /**
     * Monotonic start time of the last poll that confirmed this revision as the newest in the store, in milliseconds.
     */
    get confirmedAt(): number {
        return this.lastConfirmedAt;
    }

    /** Ids of keys whose withdrawal is in force here but not stored yet. */
    get pendingWithdrawals(): ReadonlySet<string> {
        return this.unstoredWithdrawals;
    }

    async start(): Promise<void> {
        const { timer, pollIntervalMs = 1000 } = this.options;
        this.cancels.push(timer.every(pollIntervalMs, () => void this.poll()));
        await this.poll();
    }

    stop(): Promise<void> {
        this.cancels.forEach(cancel => cancel());
        return Promise.resolve();
    }

    /** Catches up with the revision log, or with the connected peers when the store cannot be read. */
    async poll(): Promise<void> {
        if (this.isPolling) {
            return;
        }
        this.isPolling = true;
        const startedAt = this.options.timer.now();
        try {
            this.adopt(await this.runFlow(catchUp(this.currentState)));
            this.lastConfirmedAt = startedAt;
            await this.storeWithdrawals();
            await this.saveSnapshot();
            this.failureLog.recordSuccess();
        }
        catch (err) {
            this.failureLog.recordFailure(err);
            await this.fetchStateFromPeers();
        }
        finally {
            this.isPolling = false;
        }
    }

    /**
     * Replaces the lists if `listsRevision` is still the revision that last changed them; otherwise rejects with a
     * `RevisionConflictError`.
     */
    async applyLists(lists: Lists, listsRevision: number): Promise<ConfigurationState> {
        const isCurrent = (state: ConfigurationState): boolean => state.listsRevision === listsRevision;
        const state = await this.commitChange({ kind: ChangeKind.Lists, lists }, isCurrent);
        this.options.log.write(Severity.Info, EventId.ListsApplied, { revision: state.revision });
        return state;
    }

    /** Issues a key to a client account. The text of the key is returned once and not stored. */
    async issueKey(team: string): Promise<{ readonly id: string; readonly text: string }> {
        if (!Object.hasOwn(this.currentState.lists.teams, team)) {
            throw new OperatorError(
                `team "${team}" is not on the list of teams; apply a list that contains it first`,
            );
        }
        const key = createKey(team, this.options.timer.wall());
        await this.commitChange({ kind: ChangeKind.KeyIssued, key: key.record }, () => true);
        this.options.log.write(Severity.Info, EventId.KeyGiven, { key: key.record.id, team });
        return { id: key.record.id, text: key.text };
    }

    /**
     * Withdraws a key. The withdrawal takes effect at once here and on the connected peers, and is stored as soon as
     * the store answers.
     */
    async withdrawKey(id: string): Promise<Withdrawal> {
        if (
            !this.currentState.keys.has(id) && !this.currentState.withdrawn.has(id)
            && !this.unstoredWithdrawals.has(id)
        ) {
            throw new OperatorError(`no key has the id "${id}"; see "celerywind keys list"`);
        }
        this.options.log.write(Severity.Info, EventId.KeyWithdrawn, { key: id });
        this.addPendingWithdrawals([id]);
        const inForce = this.sendWithdrawal(id);
        const isStored = Promise.race([
            this.storeWithdrawals().then(() => this.currentState.withdrawn.has(id), () => false),
            sleep(this.options.timer, withdrawalStoreTimeoutMs).then(() => false),
        ]);
        return { id, isStored: await isStored, inForce: await inForce };
    }

    /** Commits the evacuation of a zone, or its end. */
    changeZone(change: ZoneChange): Promise<ConfigurationState> {
        return this.commitChange(change, () => true);
    }

    /** Processes the revision and the pending withdrawals from a peer's heartbeat. */
    receiveHeartbeat(revision: number, pending: readonly string[]): void {
        this.addPendingWithdrawals(pending);
        if (revision > this.currentState.revision) {
            void this.poll();
        }
    }

    private async sendWithdrawal(id: string): Promise<number> {
        const { peers } = this.options;
        const requests = peers.connected().map(peer =>
            peers.request(peer.vm, withdrawTopic, { ids: [id] }, peerRequestTimeoutMs)
        );
        const results = await Promise.allSettled(requests);
        return 1 + results.filter(result => result.status === "fulfilled").length;
    }

    private addPendingWithdrawals(ids: readonly string[]): boolean {
        ids.filter(id => !this.currentState.withdrawn.has(id)).forEach(id =>
            this.unstoredWithdrawals.add(id)
        );
        return true;
    }

    private async storeWithdrawals(): Promise<void> {
        if (this.isStoringWithdrawals) {
            return;
        }
        this.isStoringWithdrawals = true;
        try {
            for (const id of [...this.unstoredWithdrawals]) {
                await this.commitChange(
                    { kind: ChangeKind.KeyWithdrawn, id },
                    state => !state.withdrawn.has(id),
                )
                    .catch((err: unknown) => this.rethrowUnlessWithdrawn(id, err));
                this.unstoredWithdrawals.delete(id);
            }
        }
        finally {
            this.isStoringWithdrawals = false;
        }
    }

    private rethrowUnlessWithdrawn(id: string, err: unknown): void {
        if (!this.currentState.withdrawn.has(id)) {
            throw err;
        }
    }

    /**
     * Commits one change, proposing it again when another change took the revision and this one is still applicable.
     */
    private async commitChange(
        change: Change,
        isApplicable: (state: ConfigurationState) => boolean,
    ): Promise<ConfigurationState> {
        for (let attempt = 0; attempt < maxProposalAttempts; attempt++) {
            if (!isApplicable(this.currentState)) {
                throw this.createConflictError();
            }
            const proposal: Proposal = await this.runFlow(propose(this.currentState, change));
            switch (proposal.kind) {
                case ProposalKind.Accepted:
                    this.adopt(proposal.state);
                    this.options.peers.broadcast(pushTopic, { revision: proposal.state.revision, change });
                    return proposal.state;
                case ProposalKind.Lost:
                    this.adopt(proposal.state);
                    break;
                case ProposalKind.Unknown:
                    throw new OperatorError(
                        'store did not confirm the change; run "celerywind status", and try again if it was not accepted',
                    );
            }
            await sleep(this.options.timer, proposalRetryDelayMs);
        }
        throw this.createConflictError();
    }

    private createConflictError(): Error {
        const { listsRevision } = this.currentState;
        this.options.log.write(Severity.Warn, EventId.ListsConflict, { revision: listsRevision });
        this.options.metrics.count("celerywind_lists_conflicts_total");
        const message =
            `revision ${listsRevision} was accepted first; run "celerywind lists diff" and apply again`;
        return new RevisionConflictError(message, { props: { revision: listsRevision } });
    }

    private receivePush({ revision, change }: RevisionPush): void {
        if (revision === this.currentState.revision + 1) {
            this.adopt(applyChange(this.currentState, change));
        }
        else if (revision > this.currentState.revision) {
            void this.poll();
        }
    }

    private async saveSnapshot(): Promise<void> {
        if (this.currentState.revision - this.snapshotRevision >= revisionsPerSnapshot) {
            await this.runFlow(saveSnapshot(this.currentState));
            this.snapshotRevision = this.currentState.revision;
        }
    }

    private async fetchStateFromPeers(): Promise<void> {
        const { peers } = this.options;
        for (const { vm } of peers.connected()) {
            const response = await peers.request(vm, stateTopic, {}, peerRequestTimeoutMs).catch(() =>
                undefined
            );
            if (response !== undefined) {
                const { state, pending } = response as { state: SerializedState; pending: readonly string[] };
                this.adopt(deserializeState(state));
                this.addPendingWithdrawals(pending);
            }
        }
    }

    private adopt(next: ConfigurationState): void {
        if (next.revision <= this.currentState.revision) {
            return;
        }
        const { log, timer } = this.options;
        const { evacuatedZones } = this.currentState;
        this.currentState = next;
        logZoneChanges(log, evacuatedZones, next.evacuatedZones, next.revision, timer.wall());
        [...this.unstoredWithdrawals].filter(id => next.withdrawn.has(id)).forEach(id =>
            this.unstoredWithdrawals.delete(id)
        );
        log.write(Severity.Info, EventId.ListsAdopted, { revision: next.revision });
        this.options.metrics.count("celerywind_versions_adopted_total");
        this.options.publish(Topic.VersionAdopted, { revision: next.revision });
    }

    private runFlow<T>(flow: StoreFlow<T>): Promise<T> {
        return runFlow(flow, effect => this.options.store.perform(effect));
    }
}
