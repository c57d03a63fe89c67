/** What an entry of a site does at rest, at sites of 8 to 300 entries: it must not grow with the site. */
import { StandinSite } from "../../standin/site/site.js";
import { type Figures, type Measure, quantile, round } from "../measure.js";

const lists = { version: 1, queues: [{}] };
const sizes = [8, 44, 97, 300];
const zoneCount = 6;
const settleMs = 12_000;
const measuredS = 10;

interface Rest {
    /** Messages and pings a second. */
    readonly sent: number;
    readonly bytes: number;
    /** Store calls a second. */
    readonly storeCalls: number;
}

/** The middle entry of a site at rest. Its store calls are the mean, since the store counts them together. */
async function middleEntryAtRest(entries: number, seed: number): Promise<Rest> {
    const names = Array.from({ length: entries }, (_, i) => `entry-${i}`);
    const site = StandinSite.create({
        entries,
        seed,
        vmsPerPool: 4,
        strengths: Object.fromEntries(names.map((name, i) => [name, i < entries / 5 ? 9 : 4])),
        zones: Object.fromEntries(names.map((name, i) => [name, `z${i % zoneCount}`])),
    });
    await site.start(lists);
    await site.timer.advance(settleMs);
    const before = site.entries.map(({ peers: { sent } }) => ({ ...sent }));
    const callsBefore = site.rows.callCount;
    await site.timer.advance(measuredS * 1000);
    const perS = site.entries.map(({ peers: { sent } }, i) => ({
        sent: (sent.messages + sent.pings - before[i]!.messages - before[i]!.pings) / measuredS,
        bytes: (sent.bytes - before[i]!.bytes) / measuredS,
    }));
    return {
        sent: quantile(perS.map(({ sent }) => sent), 0.5),
        bytes: quantile(perS.map(({ bytes }) => bytes), 0.5),
        storeCalls: (site.rows.callCount - callsBefore) / measuredS / entries,
    };
}

async function measure(seed: number): Promise<Figures> {
    const figures: Record<string, number> = {};
    const [smallest] = sizes;
    let base: Rest | undefined;
    for (const size of sizes) {
        const rest = await middleEntryAtRest(size, seed);
        base ??= rest;
        figures[`sent_${size}_per_s`] = round(rest.sent);
        figures[`bytes_${size}_per_s`] = round(rest.bytes);
        figures[`store_calls_${size}_per_s`] = round(rest.storeCalls);
        if (size !== smallest) {
            figures[`sent_${size}_ratio`] = round(rest.sent / base.sent);
            figures[`bytes_${size}_ratio`] = round(rest.bytes / base.bytes);
            figures[`store_calls_${size}_ratio`] = round(rest.storeCalls / base.storeCalls);
        }
    }
    return figures;
}

/** The measurement. */
export const background: Measure = {
    name: "background",
    isVirtual: true,
    run: ({ seed }) => measure(seed),
};
