/** `npm run soak -- --seed N --rounds N`: rounds of seeded faults against the built daemon, as separate processes. */
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { playRound, roundFolder, type RoundResult } from "./round.js";

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        rounds: { type: "string", default: "5" },
        /** Rounds at a time. */
        jobs: { type: "string", default: "1" },
        entries: { type: "string", default: "3" },
        workers: { type: "string", default: "5" },
        seconds: { type: "string", default: "15" },
        /** Every so many rounds, one has only planned work. */
        planned: { type: "string", default: "4" },
        /** Folder for settings and logs of the entries, by seed. */
        folder: { type: "string", default: join(tmpdir(), "celerywind-soak") },
    },
});

const program = fileURLToPath(new URL("../target/celerywind-site.js", import.meta.url));
const first = Number(values.seed);
const rounds = Number(values.rounds);
let next = first;
let failed = 0;

async function lane(): Promise<void> {
    while (next < first + rounds) {
        const seed = next++;
        const isPlannedOnly = seed % Number(values.planned) === 0;
        const result = await playRound({
            seed,
            program,
            folder: roundFolder(values.folder, seed),
            entries: Number(values.entries),
            workers: Number(values.workers),
            lengthMs: Number(values.seconds) * 1000,
            isPlannedOnly,
        });
        failed += result.breaches.length > 0 ? 1 : 0;
        report(seed, result);
    }
}

function report(seed: number, { breaches, faults, calls, accepted, starts }: RoundResult): void {
    const verdict = breaches.length === 0 ? "ok" : "BROKEN";
    console.log(
        `seed ${seed}: ${verdict} (${faults.length} faults, ${calls} calls, ${accepted} jobs, ${starts} runs)`,
    );
    if (breaches.length > 0) {
        faults.forEach(({ atMs, forMs, kind, at, link }) =>
            console.log(`    ${atMs} ms: ${kind} at ${at} for ${forMs} ms (${link})`)
        );
        breaches.forEach(breach => console.log(`  ${breach}`));
    }
}

await Promise.all(Array.from({ length: Number(values.jobs) }, lane));
console.log(`${rounds - failed} passed, ${failed} failed; logs in ${values.folder}`);
process.exit(failed === 0 ? 0 : 1);
