/** `npm run soak -- --seed N --rounds N`: rounds of seeded faults against the built daemon, as separate processes. */
import { readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { z } from "zod";
import { parseJsonc } from "../src/process/jsonc.js";
import { playRound, roundFolder, type RoundResult } from "./round.js";

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        rounds: { type: "string", default: "5" },
        /** Rounds at a time. */
        jobs: { type: "string", default: "1" },
        /** 3 by default, 4 with `--old`. */
        entries: { type: "string" },
        workers: { type: "string", default: "5" },
        /** 15 by default, 40 with `--old`. */
        seconds: { type: "string" },
        /** Another build of the daemon, for rounds with handovers between the builds; none by default. */
        old: { type: "string" },
        /** The build under test, if it is not the one of this checkout. */
        program: { type: "string" },
        /** Plays the seeds that failed once instead. */
        kept: { type: "boolean", default: false },
        /** Every so many rounds, one has only planned work. */
        planned: { type: "string", default: "4" },
        /** Folder for settings and logs of the entries, by seed. */
        folder: { type: "string", default: join(tmpdir(), "celerywind-soak") },
    },
});

const { old } = values;
const program = values.program ?? fileURLToPath(new URL("../target/celerywind-site.js", import.meta.url));
const seeds = values.kept ? keptSeeds() : rangeOf(Number(values.seed), Number(values.rounds));
const left = [...seeds];
let failed = 0;

function rangeOf(first: number, count: number): readonly number[] {
    return Array.from({ length: count }, (_, i) => first + i);
}

function keptSeeds(): readonly number[] {
    const file = fileURLToPath(new URL("./seeds.jsonc", import.meta.url));
    const schema = z.array(z.object({ seed: z.number().int(), cause: z.string() }));
    return parseJsonc(file, readFileSync(file, "utf8"), schema).map(({ seed }) => seed);
}

async function lane(): Promise<void> {
    for (let seed = left.shift(); seed !== undefined; seed = left.shift()) {
        const isPlannedOnly = seed % Number(values.planned) === 0;
        const result = await playRound({
            seed,
            program,
            folder: roundFolder(values.folder, seed),
            entries: Number(values.entries ?? (old === undefined ? 3 : 4)),
            workers: Number(values.workers),
            lengthMs: 1000 * Number(values.seconds ?? (old === undefined ? 15 : 40)),
            isPlannedOnly,
            ...(old !== undefined && { oldProgram: old, jobsPerSecond: 3 }),
        });
        failed += result.breaches.length > 0 ? 1 : 0;
        report(seed, result);
    }
}

function report(seed: number, result: RoundResult): void {
    const { breaches, faults, evacuations, calls, accepted, starts, owners } = result;
    const verdict = breaches.length === 0 ? "ok" : "BROKEN";
    console.log(
        `seed ${seed}: ${verdict} (${faults.length} faults, ${calls} calls, ${accepted} jobs, ${starts} runs)`,
    );
    owners.forEach(line => console.log(`    ${line}`));
    if (breaches.length > 0) {
        faults.forEach(({ atMs, forMs, kind, at, link, target }) =>
            console.log(`    ${atMs} ms: ${kind} at ${target ?? at} for ${forMs} ms (${link})`)
        );
        evacuations.forEach(({ zone, atMs, forMs }) =>
            console.log(`    ${atMs} ms: zone ${zone} evacuated for ${forMs} ms`)
        );
        breaches.forEach(breach => console.log(`  ${breach}`));
    }
}

await Promise.all(Array.from({ length: Number(values.jobs) }, lane));
console.log(`${seeds.length - failed} passed, ${failed} failed; logs in ${values.folder}`);
process.exit(failed === 0 ? 0 : 1);
