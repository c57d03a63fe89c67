/** `npm run report`: one HTML page with plots and the last bench run, that opens offline. */
import { mkdir, readFile, writeFile } from "node:fs/promises";
import { createRequire } from "node:module";
import { dirname, join } from "node:path";
import type { Verdict } from "./bounds.js";
import type { Figures } from "./measure.js";
import { latencyPlot, type Plot, sharePlot, wavePlot } from "./series.js";

interface BenchRun {
    readonly seed: number;
    readonly results: readonly {
        readonly name: string;
        readonly figures: Figures;
        readonly verdicts: readonly Verdict[];
    }[];
}

const seed = 1;
const plots = [await latencyPlot(seed), await sharePlot(seed), await wavePlot(seed)];
const last = await readFile(new URL("../report/bench.json", import.meta.url), "utf8")
    .then(text => JSON.parse(text) as BenchRun, () => undefined);
const uplot = dirname(createRequire(import.meta.url).resolve("uplot/dist/uPlot.iife.min.js"));
const script = await readFile(join(uplot, "uPlot.iife.min.js"), "utf8");
const style = await readFile(join(uplot, "uPlot.min.css"), "utf8");
await mkdir(new URL("../report/", import.meta.url), { recursive: true });
await writeFile(new URL("../report/bench.html", import.meta.url), page(plots, last));
console.log("report/bench.html written");

function page(shown: readonly Plot[], run: BenchRun | undefined): string {
    return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>celerywind bench</title>
<style>${style} body { font: 14px sans-serif; margin: 2em; } table { border-collapse: collapse; } td, th { padding: 2px 8px; text-align: left; } .broken { color: #b00; }</style>
<h1>celerywind bench</h1>
<p>Virtual time, seed ${seed}.</p>
${shown.map((plot, at) => `<h2>${plot.title}</h2><div id="plot-${at}"></div>`).join("\n")}
${run === undefined ? '<p>No bench run found; run "npm run bench" first.</p>' : tables(run)}
<script>${script}</script>
<script>
const colors = ["#0a6", "#06c", "#c60", "#909"];
const plots = ${JSON.stringify(shown)};
plots.forEach((plot, at) => new uPlot({
    width: 900,
    height: 300,
    scales: { x: { time: false } },
    axes: [{ label: plot.x }, { label: plot.y }],
    series: [{ label: plot.x }, ...plot.lines.map((line, i) => ({ label: line.label, stroke: colors[i % colors.length], width: 2 }))],
}, [plot.at, ...plot.lines.map(line => line.values)], document.getElementById("plot-" + at)));
</script>
</html>
`;
}

function tables({ results }: BenchRun): string {
    return results.map(({ name, figures, verdicts }) => {
        const bounds = new Map(verdicts.map(verdict => [verdict.figure, verdict]));
        const rows = Object.entries(figures).map(([figure, value]) => {
            const verdict = bounds.get(figure);
            const mark = verdict?.isKept === false ? ' class="broken"' : "";
            return `<tr${mark}><td>${figure}</td><td>${value}</td><td>${
                escapeHtml(verdict?.bound ?? "")
            }</td></tr>`;
        });
        return `<h2>${name}</h2><table><tr><th>figure</th><th>value</th><th>bound</th></tr>${
            rows.join("")
        }</table>`;
    }).join("\n");
}

function escapeHtml(text: string): string {
    return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;");
}
