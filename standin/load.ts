/** A bounded load of requests and jobs on a site, with every outcome recorded from the caller's side. */
import { Pool } from "undici";
import { Random } from "../src/process/random.js";
import { QueueClass } from "../src/version/schema.js";
import { CallEnd, type CallRecord, type JobRecord } from "./history.js";
import type { ShopLoad } from "./shops.js";
import type { Site } from "./site.js";

/** Options of `Load.create`. */
export interface LoadOptions {
    readonly site: Site;
    readonly seed: number;
    /** Keys by team; teams without one call as guests. */
    readonly keys: ReadonlyMap<string, string>;
    readonly timeoutMs?: number;
    /** Prefix of request ids, unique to this load. */
    readonly name?: string;
}

const jobPollMs = 200;
const connectionsPerEntry = 128;

/** Sends requests and submits jobs. */
export class Load {
    readonly calls: CallRecord[] = [];
    readonly jobs: JobRecord[] = [];
    private readonly random: Random;
    private readonly pools = new Map<string, Pool>();
    private readonly bodies = new Map<string, string>();
    private sent = 0;

    private constructor(private readonly options: LoadOptions) {
        this.random = Random.create(options.seed);
    }

    static create(options: LoadOptions): Load {
        return new Load(options);
    }

    /** Sends at the mean rate of every queue times `scale`, for `ms` milliseconds, and waits for the outcomes. */
    async run(loads: readonly ShopLoad[], scale: number, ms: number): Promise<void> {
        const { timer } = this.options.site;
        const end = timer.now() + ms;
        await Promise.all(loads.map(async load => {
            const open: Promise<void>[] = [];
            while (timer.now() < end) {
                const gap = this.random.exponential(1000 / (load.rate * scale));
                await new Promise(resolve => setTimeout(resolve, gap));
                open.push(this.sendOne(load));
            }
            await Promise.all(open);
        }));
    }

    /** Waits until every job has ended, or `ms` milliseconds have passed. */
    async settleJobs(ms: number): Promise<void> {
        const { timer } = this.options.site;
        const end = timer.now() + ms;
        for (const job of this.jobs) {
            while (!await this.readJob(job) && timer.now() < end) {
                await new Promise(resolve => setTimeout(resolve, jobPollMs));
            }
        }
    }

    /** Closes the connections. */
    async close(): Promise<void> {
        await Promise.all([...this.pools.values()].map(pool => pool.close()));
    }

    private async sendOne(load: ShopLoad): Promise<void> {
        const { site, name = "load" } = this.options;
        const team = this.random.pick(load.teams);
        const id = `${name}-${this.sent++}`;
        const body = JSON.stringify({ id, squares: this.random.int(20) });
        const isJob = site.entries[0]!.entry.core.versions.state.lists.queues[load.queue]?.class
            === QueueClass.Deferred;
        if (isJob) {
            await this.submit(id, team, load.queue, body);
        }
        else {
            await this.call(id, team, load.queue, body);
        }
    }

    private async call(id: string, team: string, queue: string, body: string): Promise<void> {
        const { timer } = this.options.site;
        const startedAt = timer.now();
        const record = (end: CallEnd, isOwnAnswer: boolean, reason?: string): void => {
            const ms = timer.now() - startedAt;
            this.calls.push({
                id,
                team,
                queue,
                end,
                ms,
                isOwnAnswer,
                ...(reason !== undefined && { reason }),
            });
        };
        try {
            const res = await this.poolOf().request({
                method: "POST",
                path: `/v1/queues/${queue}/requests`,
                headers: { ...this.headersOf(team), "celerywind-request-id": id },
                body,
            });
            const text = await res.body.text();
            if (res.statusCode === 200) {
                const answer = JSON.parse(text) as { id: string; echo: string };
                record(
                    CallEnd.Answered,
                    answer.id === id && Buffer.from(answer.echo, "base64").toString() === body,
                );
                return;
            }
            const { outcome, reason } = JSON.parse(text) as { outcome: CallEnd; reason: string };
            record(outcome, true, reason);
        }
        catch (err) {
            record(CallEnd.Broken, false, String(err));
        }
    }

    private async submit(id: string, team: string, queue: string, body: string): Promise<void> {
        const res = await this.poolOf().request({
            method: "POST",
            path: `/v1/queues/${queue}/jobs`,
            headers: { ...this.headersOf(team), "idempotency-key": id },
            body,
        });
        const text = await res.body.text();
        if (res.statusCode === 202) {
            const job = JSON.parse(text) as { id: string };
            this.bodies.set(job.id, body);
            this.jobs.push({ id: job.id, team, queue, state: "waiting", isOwnResult: false });
        }
    }

    private async readJob(job: JobRecord): Promise<boolean> {
        const headers = this.headersOf(job.team);
        const res = await this.poolOf().request({ method: "GET", path: `/v1/jobs/${job.id}`, headers });
        job.state = (await res.body.json() as { state?: string }).state;
        if (job.state === "done") {
            const result = await this.poolOf().request({
                method: "GET",
                path: `/v1/jobs/${job.id}/result`,
                headers,
            });
            job.isOwnResult = await result.body.text() === this.bodies.get(job.id);
        }
        return job.state !== "waiting" && job.state !== "running";
    }

    private headersOf(team: string): Record<string, string> {
        const key = this.options.keys.get(team);
        return {
            "content-type": "application/json",
            ...(key !== undefined && { authorization: `Bearer ${key}` }),
        };
    }

    private poolOf(): Pool {
        const { callerUrl } = this.random.pick(this.options.site.entries);
        let pool = this.pools.get(callerUrl);
        if (pool === undefined) {
            pool = new Pool(callerUrl, { connections: connectionsPerEntry, pipelining: 1 });
            this.pools.set(callerUrl, pool);
        }
        return pool;
    }
}
