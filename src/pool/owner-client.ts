/**
 * Client for the owner of a domain, used by every entry: notifies it of jobs and cancellations that were just stored,
 * and queries the state of jobs. Calls are handled locally when this entry is the owner.
 */
import { type AcceptedJob, decodeSentJob, type JobPhase } from "../job/index.js";
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import type { Peer, Peers } from "../process/peers.js";
import { type ExplainedJob, explainJob } from "./explain.js";
import type { Tenure } from "./tenure.js";

/** Options of `OwnerClient.create`. */
export interface OwnerClientOptions {
    readonly peers: Peers;
    readonly metrics: Metrics;
    readonly log: Log;
    /** This entry's tenure while it is the owner. */
    readonly tenure: () => Tenure | undefined;
    /** Entry that owns the domain, as far as known; empty while no entry owns it. */
    readonly owner: () => string | undefined;
}

/** Topics of peer messages about jobs. */
enum Topic {
    Accepted = "job.accepted",
    Cancelled = "job.cancelled",
    Phase = "job.phase",
    Pending = "queue.pending",
    Explain = "job.explain",
}

const queryTimeoutMs = 500;

/** Phase of a job, undefined inside if there is no such job; undefined itself if the owner gave no usable answer. */
export type PhaseAnswer = { readonly phase: JobPhase | undefined } | undefined;

/** Sends notifications and queries to the owner, on this entry or on a peer. */
export class OwnerClient {
    private constructor(private readonly options: OwnerClientOptions) {
        const { peers } = options;
        peers.on(Topic.Accepted, (peer, body) => this.acceptFrom(peer, body));
        peers.on(Topic.Cancelled, (_, body) => this.tenure?.cancel((body as { id: string }).id));
        peers.on(Topic.Phase, (_, body) => this.phaseLocally((body as { id: string }).id));
        peers.on(Topic.Pending, (_, body) => this.pendingLocally((body as { queue: string }).queue));
        peers.on(Topic.Explain, (_, body) => this.explainLocally((body as { id: string }).id));
    }

    static create(options: OwnerClientOptions): OwnerClient {
        return new OwnerClient(options);
    }

    /** Accepts a job that a peer has stored; one that cannot be used is logged and counted. */
    private acceptFrom({ vm: peer }: Peer, body: unknown): void {
        if (this.tenure === undefined) {
            return;
        }
        const { metrics, log } = this.options;
        const decoded = decodeSentJob(body);
        switch (decoded.kind) {
            case "valid":
                this.tenure.accept(decoded.value);
                return;
            case "refused": {
                const topic = Topic.Accepted;
                metrics.count("celerywind_peer_notifications_rejected_total", { topic });
                log.write(Severity.Warn, EventId.PeerFrameInvalid, { peer, topic, err: decoded.detail });
            }
        }
    }

    /** Notifies the owner of a job that was just stored. */
    notifyAccepted(job: AcceptedJob): void {
        this.notifyOwner(tenure => tenure.accept(job), Topic.Accepted, job);
    }

    /** Notifies the owner of a cancellation that was just stored. */
    notifyCancelled(id: string): void {
        this.notifyOwner(tenure => tenure.cancel(id), Topic.Cancelled, { id });
    }

    /** Queries the phase of a job. */
    async phaseOf(id: string): Promise<PhaseAnswer> {
        return this.tenure === undefined
            ? await this.queryOwner(Topic.Phase, { id }) as PhaseAnswer
            : this.phaseLocally(id);
    }

    /** Queries how many jobs of a queue have not started; undefined if the owner gave no usable answer. */
    async pendingOf(queue: string): Promise<number | undefined> {
        return this.tenure === undefined
            ? await this.queryOwner(Topic.Pending, { queue }) as number | undefined
            : this.pendingLocally(queue);
    }

    /** Queries the explanation of a job; undefined if the owner has no such job or did not answer. */
    async explain(id: string): Promise<ExplainedJob | undefined> {
        return this.tenure === undefined
            ? await this.queryOwner(Topic.Explain, { id }) as ExplainedJob | undefined
            : this.explainLocally(id);
    }

    private explainLocally(id: string): ExplainedJob | undefined {
        const entry = this.tenure?.jobs.entries.get(id);
        return this.tenure === undefined || entry === undefined
            ? undefined
            : explainJob(this.tenure, entry);
    }

    private notifyOwner(applyLocally: (tenure: Tenure) => void, topic: Topic, body: unknown): void {
        if (this.tenure !== undefined) {
            applyLocally(this.tenure);
        }
        else if (this.owner !== undefined) {
            this.options.peers.notify(this.owner, topic, body);
        }
    }

    private async queryOwner(topic: Topic, body: unknown): Promise<unknown> {
        if (this.owner === undefined || this.owner === "") {
            return undefined;
        }
        try {
            return await this.options.peers.request(this.owner, topic, body, queryTimeoutMs);
        }
        catch (err) {
            this.options.metrics.count("celerywind_owner_questions_failed_total", { topic });
            this.options.log.write(Severity.Info, EventId.OwnerSuspected, { topic, err: messageOf(err) });
            return undefined;
        }
    }

    private phaseLocally(id: string): PhaseAnswer {
        return this.tenure?.isReady === true ? { phase: this.tenure.phaseOf(id) } : undefined;
    }

    private pendingLocally(queue: string): number | undefined {
        return this.tenure?.isReady === true ? this.tenure.pendingOf(queue) : undefined;
    }

    private get tenure(): Tenure | undefined {
        return this.options.tenure();
    }

    private get owner(): string | undefined {
        return this.options.owner();
    }
}
