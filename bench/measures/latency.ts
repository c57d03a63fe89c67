/** Latency that an idle entry adds on loopback, compared with direct calls to the same worker in the same run. */
import { Pool } from "undici";
import { createHistogram, toMicros } from "../../src/process/metrics.js";
import { narragansett, scaleShop } from "../../standin/shops.js";
import { Site } from "../../standin/site.js";
import { type Figures, type Measure, quantile, round } from "../measure.js";

const warmUpCalls = 300;
const calls = 1500;
const roundCount = 5;
const microsPerMs = 1000;

interface Quantiles {
    readonly p50: number;
    readonly p99: number;
}

interface Round {
    readonly direct: Quantiles;
    readonly through: Quantiles;
}

async function timeCalls(url: string, path: string, headers: Record<string, string>): Promise<Quantiles> {
    const pool = new Pool(url, { connections: 1, pipelining: 1 });
    const histogram = createHistogram();
    for (let call = 0; call < warmUpCalls + calls; call++) {
        const startedAt = performance.now();
        const res = await pool.request({ method: "POST", path, headers, body: "{}" });
        await res.body.text();
        if (call >= warmUpCalls) {
            histogram.recordValue(toMicros(performance.now() - startedAt));
        }
    }
    await pool.close();
    return {
        p50: histogram.getValueAtPercentile(50) / microsPerMs,
        p99: histogram.getValueAtPercentile(99) / microsPerMs,
    };
}

async function measureLatency(seed: number): Promise<Figures> {
    const shop = scaleShop(narragansett, 2);
    const instant = { ...shop, loads: shop.loads.map(load => ({ ...load, serviceMs: 0 })) };
    const site = Site.create({ shop: instant, entries: 1, seed });
    await site.start();
    const key = (await site.issueKey("benches")).text;
    await site.waitUntil(() => site.entries[0]!.entry.core.grants.usable("benches") > 0);
    const worker = [...site.workers].find(([vm]) => vm.startsWith("atelier"))![1];
    const headers = { authorization: `Bearer ${key}` };
    const rounds: Round[] = [];
    for (let at = 0; at < roundCount; at++) {
        const direct = await timeCalls(worker.origin, "/queues/fold-preview", {});
        const through = await timeCalls(
            site.entries[0]!.callerUrl,
            "/v1/queues/fold-preview/requests",
            headers,
        );
        rounds.push({ direct, through });
    }
    await site.stop();
    const middle = (pick: (each: Round) => number): number => round(quantile(rounds.map(pick), 0.5));
    return {
        direct_p50_ms: middle(each => each.direct.p50),
        through_p50_ms: middle(each => each.through.p50),
        added_p50_ms: middle(each => each.through.p50 - each.direct.p50),
        added_p99_ms: middle(each => each.through.p99 - each.direct.p99),
    };
}

/** Measures the latency that an entry adds; real time, one process. */
export const latency: Measure = {
    name: "latency",
    isVirtual: false,
    run: ({ seed }) => measureLatency(seed),
};
