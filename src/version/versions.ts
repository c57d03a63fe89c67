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
import { catchUp, type Proposal, ProposalKind, propose, saveSnapshot, snapshotEvery } from "./log.js";
import type { Lists } from "./schema.js";
import {
    advance,
    type Change,
    ChangeKind,
    fromData,
    initialState,
    type StateData,
    toData,
    type VersionState,
} from "./state.js";

/** Options of `Versions.create`. */
export interface VersionsOptions {
    readonly store: Store;
    readonly publish: Publish;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly peers: Peers;
    readonly pollMs?: number;
}

/** Result of withdrawing a key. */
export interface Withdrawal {
    readonly id: string;
    readonly isStored: boolean;
    /** Entries on which the withdrawal is in force, this one included. */
    readonly inForce: number;
}

interface Pushed {
    readonly revision: number;
    readonly change: Change;
}

const pushTopic = "version.push";
const stateTopic = "version.state";
const withdrawTopic = "version.withdraw";
const askTimeoutMs = 1000;
const storeWaitMs = 1500;
const raceAttempts = 50;
const racePauseMs = 20;

/** The lists and keys in force at one entry. */
export class Versions implements Task {
    readonly name = "versions";
    private current = initialState;
    private readonly pending = new Set<string>();
    private readonly cancels: Cancel[] = [];
    private isPolling = false;
    private isPushing = false;
    private snapshotAt = 0;
    private confirmed = -Infinity;

    private constructor(private readonly options: VersionsOptions) {
        const { peers } = options;
        peers.on(pushTopic, (_, body) => this.receivePush(body as Pushed));
        peers.on(stateTopic, () => ({ state: toData(this.current), pending: [...this.pending] }));
        peers.on(
            withdrawTopic,
            (_, body) => this.receiveWithdrawal((body as { ids: readonly string[] }).ids),
        );
    }

    static create(options: VersionsOptions): Versions {
        return new Versions(options);
    }

    /** The version in force. */
    get state(): VersionState {
        return this.current;
    }

    /** Monotonic time at which the store last confirmed this version as the newest, in milliseconds. */
    get confirmedAt(): number {
        return this.confirmed;
    }

    /** Withdrawn key ids that are in force here but not stored yet. */
    get pendingWithdrawals(): ReadonlySet<string> {
        return this.pending;
    }

    async start(): Promise<void> {
        const { timer, pollMs = 1000 } = this.options;
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
            this.adopt(await this.runFlow(catchUp(this.current)));
            this.confirmed = startedAt;
            await this.storePending();
            await this.saveSnapshot();
        }
        catch {
            await this.askPeers();
        }
        finally {
            this.isPolling = false;
        }
    }

    /** Puts new lists in force if the lists read at `listsRevision` are still the newest. */
    async applyLists(lists: Lists, listsRevision: number): Promise<VersionState> {
        const isCurrent = (state: VersionState): boolean => state.listsRevision === listsRevision;
        const state = await this.change({ kind: ChangeKind.Lists, lists }, isCurrent);
        this.options.log.write(Severity.Info, EventId.ListsApplied, { revision: state.revision });
        return state;
    }

    /** Gives a key to a team; the text is returned once and kept nowhere. */
    async giveKey(team: string): Promise<{ readonly id: string; readonly text: string }> {
        if (!Object.hasOwn(this.current.lists.teams, team)) {
            throw new OperatorError(`team "${team}" is not on the list of teams; apply a list with it first`);
        }
        const key = createKey(team, this.options.timer.wall());
        await this.change({ kind: ChangeKind.KeyGiven, key: key.record }, () => true);
        this.options.log.write(Severity.Info, EventId.KeyGiven, { key: key.record.id, team });
        return { id: key.record.id, text: key.text };
    }

    /** Withdraws a key: in force here and on the connected peers at once, stored as soon as the store answers. */
    async withdrawKey(id: string): Promise<Withdrawal> {
        if (!this.current.keys.has(id) && !this.current.withdrawn.has(id) && !this.pending.has(id)) {
            throw new OperatorError(`there is no key "${id}"; see "celerywind keys list"`);
        }
        this.options.log.write(Severity.Info, EventId.KeyWithdrawn, { key: id });
        this.receiveWithdrawal([id]);
        const inForce = this.confirmWithdrawal(id);
        const isStored = Promise.race([
            this.storePending().then(() => this.current.withdrawn.has(id), () => false),
            sleep(this.options.timer, storeWaitMs).then(() => false),
        ]);
        return { id, isStored: await isStored, inForce: await inForce };
    }

    /** Takes in the revision and the pending withdrawals of a peer. */
    hear(revision: number, pending: readonly string[]): void {
        this.receiveWithdrawal(pending);
        if (revision > this.current.revision) {
            void this.poll();
        }
    }

    private async confirmWithdrawal(id: string): Promise<number> {
        const { peers } = this.options;
        const asked = peers.connected().map(peer =>
            peers.request(peer.vm, withdrawTopic, { ids: [id] }, askTimeoutMs)
        );
        const answers = await Promise.allSettled(asked);
        return 1 + answers.filter(answer => answer.status === "fulfilled").length;
    }

    private receiveWithdrawal(ids: readonly string[]): boolean {
        ids.filter(id => !this.current.withdrawn.has(id)).forEach(id => this.pending.add(id));
        return true;
    }

    private async storePending(): Promise<void> {
        if (this.isPushing) {
            return;
        }
        this.isPushing = true;
        try {
            for (const id of [...this.pending]) {
                await this.change({ kind: ChangeKind.KeyWithdrawn, id }, state => !state.withdrawn.has(id))
                    .catch((err: unknown) => this.ignoreIfWithdrawn(id, err));
                this.pending.delete(id);
            }
        }
        finally {
            this.isPushing = false;
        }
    }

    private ignoreIfWithdrawn(id: string, err: unknown): void {
        if (!this.current.withdrawn.has(id)) {
            throw err;
        }
    }

    /** Gets one change accepted, trying again when an unrelated change took the revision. */
    private async change(
        change: Change,
        isStillWanted: (state: VersionState) => boolean,
    ): Promise<VersionState> {
        for (let attempt = 0; attempt < raceAttempts; attempt++) {
            if (!isStillWanted(this.current)) {
                throw this.conflict();
            }
            const proposal: Proposal = await this.runFlow(propose(this.current, change));
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
            await sleep(this.options.timer, racePauseMs);
        }
        throw this.conflict();
    }

    private conflict(): Error {
        const { listsRevision } = this.current;
        this.options.log.write(Severity.Warn, EventId.ListsConflict, { revision: listsRevision });
        this.options.metrics.count("celerywind_lists_conflicts_total");
        const message =
            `revision ${listsRevision} was accepted first; run "celerywind lists diff" and apply again`;
        return new RevisionConflictError(message, { props: { revision: listsRevision } });
    }

    private receivePush({ revision, change }: Pushed): void {
        if (revision === this.current.revision + 1) {
            this.adopt(advance(this.current, change));
        }
        else if (revision > this.current.revision) {
            void this.poll();
        }
    }

    private async saveSnapshot(): Promise<void> {
        if (this.current.revision - this.snapshotAt >= snapshotEvery) {
            await this.runFlow(saveSnapshot(this.current));
            this.snapshotAt = this.current.revision;
        }
    }

    private async askPeers(): Promise<void> {
        const { peers } = this.options;
        for (const { vm } of peers.connected()) {
            const reply = await peers.request(vm, stateTopic, {}, askTimeoutMs).catch(() => undefined);
            if (reply !== undefined) {
                const { state, pending } = reply as { state: StateData; pending: readonly string[] };
                this.adopt(fromData(state));
                this.receiveWithdrawal(pending);
            }
        }
    }

    private adopt(next: VersionState): void {
        if (next.revision <= this.current.revision) {
            return;
        }
        this.current = next;
        [...this.pending].filter(id => next.withdrawn.has(id)).forEach(id => this.pending.delete(id));
        this.options.log.write(Severity.Info, EventId.ListsAdopted, { revision: next.revision });
        this.options.metrics.count("celerywind_versions_adopted_total");
        this.options.publish(Topic.VersionAdopted, { revision: next.revision });
    }

    private runFlow<T>(flow: StoreFlow<T>): Promise<T> {
        return runFlow(flow, effect => this.options.store.perform(effect));
    }
}
