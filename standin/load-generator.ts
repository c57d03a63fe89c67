/** Generates requests and jobs for a site, for a bounded time, and records every outcome as the caller observes it. */
import { Pool } from "undici";
import { Random } from "../src/process/random.js";
import { sleep, type Timer } from "../src/process/timer.js";
import { QueueClass } from "../src/version/schema.js";
import { CallOutcome, type CallRecord, type JobRecord } from "./history.js";
import type { QueueLoad } from "./shops.js";
import type { Site } from "./site.js";

/** Options of `LoadGenerator.create`. */
export interface LoadGeneratorOptions {
    readonly site: Site;
    readonly seed: number;
    /** Keys by team; a team without a key sends anonymous requests, as a guest. */
    readonly keys: ReadonlyMap<string, string>;
    readonly timeoutMs?: number;
    /** Prefix of request ids, unique among the generators of a site; "load" by default. */
    readonly idPrefix?: string;
}

const jobPollIntervalMs = 200;
const connectionsPerEntry = 128;
/** Overdue calls of one queue that are sent at one wake-up; the rest follow at the next ones. */
const maxCallsPerWakeUp = 8;

/** Sends requests and submits jobs to randomly chosen entries. */
export class LoadGenerator {
    readonly calls: CallRecord[] = [];
    readonly jobs: JobRecord[] = [];
    private readonly random: Random;
    private readonly connectionPools = new Map<string, Pool>();
    private readonly payloadsByJob = new Map<string, string>();
    private sentCount = 0;

    private constructor(private readonly options: LoadGeneratorOptions) {
        this.random = Random.create(options.seed);
    }

    static create(options: LoadGeneratorOptions): LoadGenerator {
        return new LoadGenerator(options);
    }

    /**
     * Generates load for `ms` milliseconds, with exponential gaps at each queue's mean rate times `scale`, and waits
     * for the outcomes. The due times are drawn before the first call, so the number of calls depends on the seed only.
     */
    async run(loads: readonly QueueLoad[], scale: number, ms: number): Promise<void> {
        const { timer } = this.options.site;
        const schedules = loads.map(load => ({
            load,
            dueTimesMs: drawDueTimes(this.random, 1000 / (load.requestsPerS * scale), ms),
        }));
        await Promise.all(schedules.map(async ({ load, dueTimesMs }) => {
            const pending: Promise<void>[] = [];
            await followSchedule(timer, dueTimesMs, () => pending.push(this.sendNext(load)));
            await Promise.all(pending);
        }));
    }

    /** Waits until every job has ended, or for at most `ms` milliseconds. */
    async waitForJobs(ms: number): Promise<void> {
        const { timer } = this.options.site;
        const end = timer.now() + ms;
        for (const job of this.jobs) {
            while (!await this.updateJob(job) && timer.now() < end) {
                await new Promise(resolve => setTimeout(resolve, jobPollIntervalMs));
            }
        }
    }

    /** Closes the connections. */
    async close(): Promise<void> {
        await Promise.all([...this.connectionPools.values()].map(pool => pool.close()));
    }

    private async sendNext(load: QueueLoad): Promise<void> {
        const { site, idPrefix = "load" } = this.options;
        const team = this.random.pick(load.teams);
        const id = `${idPrefix}-${this.sentCount++}`;
        const body = JSON.stringify({ id, squares: this.random.int(20) });
        const isJob = site.entries[0]!.entry.core.versions.state.lists.queues[load.queue]?.class
            === QueueClass.Deferred;
        if (isJob) {
            await this.submitJob(id, team, load.queue, body);
        }
        else {
            await this.sendRequest(id, team, load.queue, body);
        }
    }

    private async sendRequest(id: string, team: string, queue: string, body: string): Promise<void> {
        const { timer } = this.options.site;
        const startedAt = timer.now();
        const record = (outcome: CallOutcome, isAnswerCorrect: boolean, reason?: string): void => {
            const durationMs = timer.now() - startedAt;
            this.calls.push({
                id,
                team,
                queue,
                outcome,
                durationMs,
                isAnswerCorrect,
                ...(reason !== undefined && { reason }),
            });
        };
        try {
            const res = await this.pickConnectionPool().request({
                method: "POST",
                path: `/v1/queues/${queue}/requests`,
                headers: { ...this.requestHeaders(team), "celerywind-request-id": id },
                body,
            });
            const text = await res.body.text();
            if (res.statusCode === 200) {
                const answer = JSON.parse(text) as { id: string; echo: string };
                record(
                    CallOutcome.Answered,
                    answer.id === id && Buffer.from(answer.echo, "base64").toString() === body,
                );
                return;
            }
            const { outcome, reason } = JSON.parse(text) as { outcome: CallOutcome; reason: string };
            record(outcome, true, reason);
        }
        catch (err) {
            record(CallOutcome.Broken, false, String(err));
        }
    }

    private async submitJob(id: string, team: string, queue: string, body: string): Promise<void> {
        const res = await this.pickConnectionPool().request({
            method: "POST",
            path: `/v1/queues/${queue}/jobs`,
            headers: { ...this.requestHeaders(team), "idempotency-key": id },
            body,
        });
        const text = await res.body.text();
        if (res.statusCode === 202) {
            const job = JSON.parse(text) as { id: string };
            this.payloadsByJob.set(job.id, body);
            this.jobs.push({ id: job.id, team, queue, state: "waiting", isResultCorrect: false });
        }
    }

    private async updateJob(job: JobRecord): Promise<boolean> {
        const headers = this.requestHeaders(job.team);
        const res = await this.pickConnectionPool().request({
            method: "GET",
            path: `/v1/jobs/${job.id}`,
            headers,
        });
        job.state = (await res.body.json() as { state?: string }).state;
        if (job.state === "done") {
            const result = await this.pickConnectionPool().request({
                method: "GET",
                path: `/v1/jobs/${job.id}/result`,
                headers,
            });
            job.isResultCorrect = await result.body.text() === this.payloadsByJob.get(job.id);
        }
        return job.state !== "waiting" && job.state !== "running";
    }

    private requestHeaders(team: string): Record<string, string> {
        const key = this.options.keys.get(team);
        return {
            "content-type": "application/json",
            ...(key !== undefined && { authorization: `Bearer ${key}` }),
        };
    }

    private pickConnectionPool(): Pool {
        const { callerUrl } = this.random.pick(this.options.site.entries);
        let pool = this.connectionPools.get(callerUrl);
        if (pool === undefined) {
            pool = new Pool(callerUrl, { connections: connectionsPerEntry, pipelining: 1 });
            this.connectionPools.set(callerUrl, pool);
        }
        return pool;
    }
}

function drawDueTimes(random: Random, meanGapMs: number, lengthMs: number): number[] {
    const dueTimesMs: number[] = [];
    for (let at = random.exponential(meanGapMs); at < lengthMs; at += random.exponential(meanGapMs)) {
        dueTimesMs.push(at);
    }
    return dueTimesMs;
}

/**
 * Calls `send` once for each due time, given in ascending order from now on. After a late wake-up it catches up, by
 * `maxCallsPerWakeUp` calls at a time; no call is dropped.
 */
export async function followSchedule(
    timer: Timer,
    dueTimesMs: readonly number[],
    send: () => void,
): Promise<void> {
    const startedAt = timer.now();
    let next = 0;
    while (next < dueTimesMs.length) {
        await sleep(timer, Math.max(0, startedAt + dueTimesMs[next]! - timer.now()));
        const elapsedMs = timer.now() - startedAt;
        const limit = Math.min(next + maxCallsPerWakeUp, dueTimesMs.length);
        for (; next < limit && dueTimesMs[next]! <= elapsedMs; next++) {
            send();
        }
    }
}
