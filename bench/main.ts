/** `npm run bench`: runs the measurements, prints a table, writes a JSON report, and exits 1 when a bound is broken. */
import { mkdir, writeFile } from "node:fs/promises";
import { parseArgs } from "node:util";
import { judge, readBounds, type Verdict } from "./bounds.js";
import type { Figures, Measure } from "./measure.js";
import { background } from "./measures/background.js";
import { config } from "./measures/config.js";
import { control } from "./measures/control.js";
import { largeJobs } from "./measures/large-jobs.js";
import { latency } from "./measures/latency.js";
import { overload } from "./measures/overload.js";
import { owner } from "./measures/owner.js";
import { packing } from "./measures/packing.js";
import { routing } from "./measures/routing.js";
import { service } from "./measures/service.js";
import { shares } from "./measures/shares.js";
import { slopes } from "./measures/slopes.js";
import { workers } from "./measures/workers.js";

const measures: readonly Measure[] = [
    routing,
    shares,
    overload,
    config,
    control,
    workers,
    service,
    latency,
    slopes,
    owner,
    background,
    packing,
    largeJobs,
];

const { values } = parseArgs({
    options: {
        only: { type: "string" },
        seed: { type: "string", default: "1" },
        report: { type: "string", default: "report/bench.json" },
        virtual: { type: "boolean", default: false },
    },
});

const chosen = measures.filter(measure => {
    const isNamed = values.only === undefined || values.only.split(",").includes(measure.name);
    return isNamed && (measure.isVirtual || !values.virtual);
});
if (chosen.length === 0) {
    console.error(
        `--only: found "${values.only}"; use one of: ${measures.map(measure => measure.name).join(", ")}`,
    );
    process.exit(2);
}

const seed = Number(values.seed);
const bounds = await readBounds();
const results: { readonly name: string; readonly figures: Figures; readonly verdicts: readonly Verdict[] }[] =
    [];
for (const { name, run } of chosen) {
    const figures = await run({ seed });
    const verdicts = judge(bounds[name] ?? {}, figures);
    results.push({ name, figures, verdicts });
    console.log(`\n${name} (seed ${seed})`);
    console.table(figures);
    verdicts.forEach(({ figure, value, bound, target, isKept }) => {
        console.log(`${isKept ? "kept  " : "BROKEN"} ${figure} = ${value}, ${bound} (${target})`);
    });
}
await mkdir(new URL("../report/", import.meta.url), { recursive: true });
await writeFile(
    new URL(`../${values.report}`, import.meta.url),
    JSON.stringify({ seed, results }, undefined, 4),
);
const broken = results.flatMap(result => result.verdicts).filter(verdict => !verdict.isKept).length;
console.log(`\n${results.flatMap(result => result.verdicts).length - broken} passed, ${broken} failed`);
process.exit(broken === 0 ? 0 : 1);
