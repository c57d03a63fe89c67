/**
 * Task that holds the lists and keys in force at this entry. It adopts only greater revisions, pushes what it adopts
 * to the peers, and puts a key's withdrawal in force before it is stored.
 */
import { OperatorError, RevisionConflictError } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import { runFlow } from "../process/flow.js";
import { type Publish, type Task, Topic } from "../process/hub.js";
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import type { Peers } from "../process/peers.js";
import { type Store, type StoreFlow } from "../process/store.js";
import { type Cancel, sleep, type Timer } from "../process/timer.js";
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

/** Options of `Versions.create`. */
export interface ConfigurationReplicaOptions {
    readonly store: Store;
    readonly publish: Publish;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly peers: Peers;
    readonly pollIntervalMs?: number;
}

/** Result of withdrawing a key. */
export interface Withdrawal {
    readonly id: string;
    readonly isStored: boolean;
    /** Entries on which the withdrawal is in force, this one included. */
    readonly inForce: number;
}

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

/** The lists and keys in force at one entry. */
export class ConfigurationReplica implements Task {
    readonly name = "versions";
    private currentState = initialState;
    private readonly unstoredWithdrawals = new Set<string>();
    private readonly cancels: Cancel[] = [];
    private isPolling = false;
    private isStoringWithdrawals = false;
    private snapshotRevision = 0;
    private lastConfirmedAt = -Infinity;

    private constructor(private readonly options: ConfigurationReplicaOptions) {
        const { peers } = options;
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

    /** The version in force. */
    get state(): ConfigurationState {
        return this.currentState;
    }

    /** Monotonic time at which the store last confirmed this version as the newest, in milliseconds. */
    get confirmedAt(): number {
        return this.lastConfirmedAt;
    }

    /** Withdrawn key ids that are in force here but not stored yet. */
    get pendingWithdrawals(): ReadonlySet<string> {
        return this.unstoredWithdrawals;
    }

    async start(): Promise<void> {
        const { timer, pollIntervalMs: pollMs = 1000 } = this.options;
        this.cancels.push(timer.every(pollMs, () => void this.poll()));
        await this.poll();
    }

    stop(): Promise<void> {
        this.cancels.forEach(cancel => cancel());
        return Promise.resolve();
    }

    /** Reads the head of the log, or a peer's state when the store does not answer. */
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
        }
        catch {
            await this.fetchStateFromPeers();
        }
        finally {
            this.isPolling = false;
        }
    }

    /** Puts new lists in force if the lists read at `listsRevision` are still the newest. */
    async applyLists(lists: Lists, listsRevision: number): Promise<ConfigurationState> {
        const isCurrent = (state: ConfigurationState): boolean => state.listsRevision === listsRevision;
        const state = await this.commitChange({ kind: ChangeKind.Lists, lists }, isCurrent);
        this.options.log.write(Severity.Info, EventId.ListsApplied, { revision: state.revision });
        return state;
    }

    /** Gives a key to a team; the text is returned once and kept nowhere. */
    async issueKey(team: string): Promise<{ readonly id: string; readonly text: string }> {
        if (!Object.hasOwn(this.currentState.lists.teams, team)) {
            throw new OperatorError(`team "${team}" is not on the list of teams; apply a list with it first`);
        }
        const key = createKey(team, this.options.timer.wall());
        await this.commitChange({ kind: ChangeKind.KeyIssued, key: key.record }, () => true);
        this.options.log.write(Severity.Info, EventId.KeyGiven, { key: key.record.id, team });
        return { id: key.record.id, text: key.text };
    }

    /** Withdraws a key: in force here and on the connected peers at once, stored as soon as the store answers. */
    async withdrawKey(id: string): Promise<Withdrawal> {
        if (
            !this.currentState.keys.has(id) && !this.currentState.withdrawn.has(id)
            && !this.unstoredWithdrawals.has(id)
        ) {
            throw new OperatorError(`there is no key "${id}"; see "celerywind keys list"`);
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

    /** Takes in the revision and the pending withdrawals of a peer. */
    receiveHeartbeat(revision: number, pending: readonly string[]): void {
        this.addPendingWithdrawals(pending);
        if (revision > this.currentState.revision) {
            void this.poll();
        }
    }

    private async sendWithdrawal(id: string): Promise<number> {
        const { peers } = this.options;
        const asked = peers.connected().map(peer =>
            peers.request(peer.vm, withdrawTopic, { ids: [id] }, peerRequestTimeoutMs)
        );
        const answers = await Promise.allSettled(asked);
        return 1 + answers.filter(answer => answer.status === "fulfilled").length;
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

    /** Gets one change accepted, trying again when an unrelated change took the revision. */
    private async commitChange(
        change: Change,
        isStillWanted: (state: ConfigurationState) => boolean,
    ): Promise<ConfigurationState> {
        for (let attempt = 0; attempt < maxProposalAttempts; attempt++) {
            if (!isStillWanted(this.currentState)) {
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
                        'the store did not confirm the change; run "celerywind status" and try again',
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
            const reply = await peers.request(vm, stateTopic, {}, peerRequestTimeoutMs).catch(() =>
                undefined
            );
            if (reply !== undefined) {
                const { state, pending } = reply as { state: SerializedState; pending: readonly string[] };
                this.adopt(deserializeState(state));
                this.addPendingWithdrawals(pending);
            }
        }
    }

    private adopt(next: ConfigurationState): void {
        if (next.revision <= this.currentState.revision) {
            return;
        }
        this.currentState = next;
        [...this.unstoredWithdrawals].filter(id => next.withdrawn.has(id)).forEach(id =>
            this.unstoredWithdrawals.delete(id)
        );
        this.options.log.write(Severity.Info, EventId.ListsAdopted, { revision: next.revision });
        this.options.metrics.count("celerywind_versions_adopted_total");
        this.options.publish(Topic.VersionAdopted, { revision: next.revision });
    }

    private runFlow<T>(flow: StoreFlow<T>): Promise<T> {
        return runFlow(flow, effect => this.options.store.perform(effect));
    }
}
