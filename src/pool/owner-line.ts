/** How every entry speaks with the owner of a domain about jobs: hints that something was stored, and questions. */
import type { AcceptedJob, JobPhase } from "../job/index.js";
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import type { Peers } from "../process/peers.js";
import { type ExplainedJob, explainJob } from "./explain.js";
import type { Tenure } from "./tenure.js";

/** Options of `OwnerLine.create`. */
export interface OwnerLineOptions {
    readonly peers: Peers;
    readonly metrics: Metrics;
    readonly log: Log;
    /** This entry's tenure, while it is the owner. */
    readonly tenure: () => Tenure | undefined;
    /** Entry that owns the domain, as far as known; empty while nobody does. */
    readonly owner: () => string | undefined;
}

/** Notices and questions about jobs. */
enum Topic {
    Accepted = "job.accepted",
    Cancelled = "job.cancelled",
    Phase = "job.phase",
    Pending = "queue.pending",
    Explain = "job.explain",
}

const questionMs = 500;

/** The phase of a job, or that it is unknown; undefined without a sound answer. */
export type PhaseAnswer = { readonly phase: JobPhase | undefined } | undefined;

/** The line to the owner, wherever it is. */
export class OwnerLine {
    private constructor(private readonly options: OwnerLineOptions) {
        const { peers } = options;
        peers.on(Topic.Accepted, (_, body) => this.tenure?.accept(body as AcceptedJob));
        peers.on(Topic.Cancelled, (_, body) => this.tenure?.cancel((body as { id: string }).id));
        peers.on(Topic.Phase, (_, body) => this.answerPhase((body as { id: string }).id));
        peers.on(Topic.Pending, (_, body) => this.answerPending((body as { queue: string }).queue));
        peers.on(Topic.Explain, (_, body) => this.explainHere((body as { id: string }).id));
    }

    static create(options: OwnerLineOptions): OwnerLine {
        return new OwnerLine(options);
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
        return this.tenure === undefined
            ? await this.askOwner(Topic.Phase, { id }) as PhaseAnswer
            : this.answerPhase(id);
    }

    /** Asks the owner how many jobs of a queue have not begun; undefined without a sound answer. */
    async pendingOf(queue: string): Promise<number | undefined> {
        return this.tenure === undefined
            ? await this.askOwner(Topic.Pending, { queue }) as number | undefined
            : this.answerPending(queue);
    }

    /** What the owner knows of a job; undefined when it does not know it or did not answer. */
    async explain(id: string): Promise<ExplainedJob | undefined> {
        return this.tenure === undefined
            ? await this.askOwner(Topic.Explain, { id }) as ExplainedJob | undefined
            : this.explainHere(id);
    }

    private explainHere(id: string): ExplainedJob | undefined {
        const entry = this.tenure?.jobs.entries.get(id);
        return this.tenure === undefined || entry === undefined
            ? undefined
            : explainJob(this.tenure, entry);
    }

    private tell(here: (tenure: Tenure) => void, topic: Topic, body: unknown): void {
        if (this.tenure !== undefined) {
            here(this.tenure);
        }
        else if (this.owner !== undefined) {
            this.options.peers.notify(this.owner, topic, body);
        }
    }

    private async askOwner(topic: Topic, body: unknown): Promise<unknown> {
        if (this.owner === undefined || this.owner === "") {
            return undefined;
        }
        try {
            return await this.options.peers.request(this.owner, topic, body, questionMs);
        }
        catch (err) {
            this.options.metrics.count("celerywind_owner_questions_failed_total", { topic });
            this.options.log.write(Severity.Info, EventId.OwnerSuspected, { topic, err: messageOf(err) });
            return undefined;
        }
    }

    private answerPhase(id: string): PhaseAnswer {
        return this.tenure?.isReady === true ? { phase: this.tenure.phaseOf(id) } : undefined;
    }

    private answerPending(queue: string): number | undefined {
        return this.tenure?.isReady === true ? this.tenure.pendingOf(queue) : undefined;
    }

    private get tenure(): Tenure | undefined {
        return this.options.tenure();
    }

    private get owner(): string | undefined {
        return this.options.owner();
    }
}
