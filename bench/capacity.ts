/** `npm run capacity`: writes docs/CAPACITY.md from the measured slopes in bench/slopes.json. */
import { readFile, writeFile } from "node:fs/promises";
import type { Figures } from "./measure.js";

const workers = 25_000;
const pools = 133;
const teams = 370;
const zones = 18;
const changesADay = 69_000;
const failuresADay = 390;
const restartsADay = 5000;
const daySeconds = 86_400;
const budgetBytes = 9000;
const budgetCore = 0.036;
const budgetMb = 64;
const entryRatio = 80;

const file = new URL("./slopes.json", import.meta.url);
const report = JSON.parse(await readFile(file, "utf8")) as { results: readonly { figures: Figures }[] };
const figures = report.results[0]!.figures;

/** Slope and intercept of the line through two measured points. */
function line(x1: number, y1: number, x2: number, y2: number): (x: number) => number {
    const slope = (y2 - y1) / (x2 - x1);
    return x => y1 + slope * (x - x1);
}

const figure = (name: string): number => figures[name]!;
const peerBytes = line(8, figure("entries_8_peer_bytes_per_s"), 64, figure("entries_64_peer_bytes_per_s"));
const workerHeap = line(40, figure("workers_40_heap_kb"), 2500, figure("workers_2500_heap_kb"));
const homes = line(40, figure("workers_40_homes_ms"), 2500, figure("workers_2500_homes_ms"));
const entries = Math.ceil(workers / entryRatio);
const entriesPerZone = Math.ceil(entries / zones);
const fullMeshLimit = Math.floor(8 + (budgetBytes - peerBytes(8)) / (peerBytes(9) - peerBytes(8)));
const text = (value: number, places = 1): string => value.toFixed(places);

const grantCore = figure("teams_370_grant_round_ms") / 1000;
const zoneBytes = peerBytes(entriesPerZone);
const zoneDigestBytes = figure("teams_370_digest_bytes");
const changesPerSecond = changesADay / daySeconds;
const replacements = (failuresADay + restartsADay) / daySeconds;
const permits = workers / (28 * daySeconds);
const controlHeapMb = (workerHeap(workers) + figure("teams_370_heap_kb")) / 1024;

const page = `# Capacity

Written by \`npm run capacity\` from \`bench/slopes.json\` (\`npm run bench -- --only slopes --report bench/slopes.json\`).
Measured on one machine with stand-ins; everything at two-year size is **worked out** from the slopes, not run.

Size: ${workers} workers, ${pools} pools, ${teams} teams, 7 regions, ${zones} zones, ${changesADay} changes a day. Entry VMs are not
given; one to ${entryRatio} workers makes ${entries}, ${entriesPerZone} a zone. Budget a node: 3.6% of a core, 64 MB, 9 KB/s.

## Slopes measured

| against | 2 | 4 | 8 | 16 | 32 | 64 |
| --- | --- | --- | --- | --- | --- | --- |
| entries: peer bytes/s an entry, idle | ${
    [2, 4, 8, 16, 32, 64].map(n => figure(`entries_${n}_peer_bytes_per_s`)).join(" | ")
} |
| entries: store reads/s an entry | ${
    [2, 4, 8, 16, 32, 64].map(n => figure(`entries_${n}_reads_per_s`)).join(" | ")
} |

| against teams | 10 | 40 | 120 | 370 |
| --- | --- | --- | --- | --- |
| heap of lists and keys, KB | ${[10, 40, 120, 370].map(n => figure(`teams_${n}_heap_kb`)).join(" | ")} |
| snapshot, KB | ${[10, 40, 120, 370].map(n => figure(`teams_${n}_snapshot_kb`)).join(" | ")} |
| one round of grant decisions, 64 entries, ms | ${
    [10, 40, 120, 370].map(n => figure(`teams_${n}_grant_round_ms`)).join(" | ")
} |
| full digest, bytes | ${[10, 40, 120, 370].map(n => figure(`teams_${n}_digest_bytes`)).join(" | ")} |

| against workers | 40 | 200 | 1000 | 2500 |
| --- | --- | --- | --- | --- |
| heap of routing tables, KB | ${[40, 200, 1000, 2500].map(n => figure(`workers_${n}_heap_kb`)).join(" | ")} |
| dealing out homes at a change, 64 entries, ms | ${
    [40, 200, 1000, 2500].map(n => figure(`workers_${n}_homes_ms`)).join(" | ")
} |

## At two-year size, by role

| role | state a node | messages | processor | mechanism |
| --- | --- | --- | --- | --- |
| members and links | ${entriesPerZone} links | ${text(zoneBytes / 1000)} KB/s inside a zone (${
    text(peerBytes(entries) / 1000)
} KB/s in a full mesh) | small | full mesh today; zone meshes needed above ${fullMeshLimit} entries |
| load digests | ${teams} teams | ${
    text(zoneDigestBytes / 1000)
} KB a full digest; token bucket of 5.5 KB/s | small | what changed only; zone sums needed |
| lists and keys | ${text(figure("teams_370_heap_kb") / 1024, 2)} MB | ${
    text(changesPerSecond, 2)
} changes/s pushed, head poll 1/s | small | revision log, push, snapshots of ${
    text(figure("teams_370_snapshot_kb"), 0)
} KB |
| grants | one row a team, ${teams} rows | 1 range read/s | ${
    text(grantCore * 100)
}% of a core | grants with bases and demand |
| routing | ${text(workerHeap(workers) / 1024)} MB for all ${workers} workers, ${
    text(workerHeap(workers / zones) / 1024, 2)
} MB for one zone | none | ${
    text(homes(workers) / 1000, 2)
} s at each change of the list, all pools | homes dealt out; a zone's subset needed |
| servicing | one row a pool, ${pools} rows | ${
    text(permits * 3600, 0)
} VMs an hour | small | permits, planner |
| replaced entries and VMs | rows | ${
    text(replacements * 3600, 0)
} an hour | small | incarnations, quarantine |

Control state together: ${
    text(controlHeapMb)
} MB of heap for the whole fleet's tables. The process itself holds about 100 MB resident, nearly
all of it Node and the libraries.

## Against the budget: what holds and what does not

| budget | today, 9 entries | two-year size |
| --- | --- | --- |
| 9 KB/s | holds: 2.4 KB/s idle, 8.5 KB/s under load | does not hold in a full mesh (limit ${fullMeshLimit} entries); a zone mesh of ${entriesPerZone} takes ${
    text(zoneBytes / 1000)
} KB/s, which leaves ${text((budgetBytes - zoneBytes) / 1000)} KB/s for zone sums |
| ${text(budgetCore * 100)}% of a core | holds | grants ${
    text(grantCore * 100)
}%; dealing out homes of all workers at each of ${text(replacements * 3600, 0)} changes an hour takes ${
    text(homes(workers) * replacements / 10, 2)
}% of a core more; a zone's subset ${text(homes(workers / zones) * replacements / 10, 3)}% |
| ${budgetMb} MB | control heap holds; the process (100 MB resident) does not | control heap ${
    text(controlHeapMb)
} MB holds; the process does not |

Not built yet, and needed on the way: zone digests by a few entries a zone, a zone-first subset of workers at each entry
(64 connections a worker divided by the entries that use it), grant rows read by subset, and revision rows read by zone
leaders, since ${entries} entries at one head read a second are ${entries} of about 2,000 reads a second, and all reads together at 4
a second would be ${entries * 4}: **today's polling stops holding at about 450 entries.**

## Failures at that size

- ${failuresADay} VMs a day fail and ${restartsADay} are restarted: ${
    text(replacements * 60, 1)
} changes of the list a minute. A gone entry's grants stay in quarantine
  for 77 s, so at any time about ${
    text(restartsADay / daySeconds * 77 * entries / (workers + entries), 2)
} entries' grants are in quarantine.
- A rack a week takes 4 workers of a pool; the budget counts them at once, and the wave halts until they are back.
- A zone lost: its entries' grants go to quarantine for 77 s; until then each team can use about ${
    text(100 - 100 / zones, 0)
}% of its limit.
- Regions apart for an hour: an entry that reaches no store is isolated unless a majority of all entries answers, so the
  region with the store goes on and the others refuse as not run. Serving in a region without the store needs a store a
  region and limits split by region; this is not built.
`;

await writeFile(new URL("../docs/CAPACITY.md", import.meta.url), page);
console.log("docs/CAPACITY.md written");
