/**
 * `npm run regression -- --bench PROGRAM --kit FOLDER`: plays the users' bench on each site of deploy/regression.jsonc and compares
 * the figures with the journal's last ones. Exits with 1 on a regression, and with 2 when it cannot play.
 */
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { ConfigError, messageOf } from "../../src/process/errors.js";
import { parseJson } from "../../src/process/json.js";
import { parseJsonc } from "../../src/process/jsonc.js";
import {
    comparePlays,
    hasRegression,
    latestPlay,
    type Play,
    playEntry,
    regressionList,
    renderReport,
    type ReportRow,
} from "./plays.js";

const exitRegression = 1;
const exitCannotPlay = 2;
const listFile = "deploy/regression.jsonc";
const repository = fileURLToPath(new URL("../../", import.meta.url));

try {
    const rows = playAll();
    process.stdout.write(renderReport(rows));
    process.exitCode = hasRegression(rows) ? exitRegression : 0;
}
catch (err) {
    process.stderr.write(`${messageOf(err)}\n`);
    process.exitCode = exitCannotPlay;
}

function playAll(): readonly ReportRow[] {
    const { values } = parseArgs({
        options: {
            bench: { type: "string" },
            kit: { type: "string" },
            jobs: { type: "string", default: "3" },
            /** Plays the oldest sites as well. */
            all: { type: "boolean", default: false },
        },
    });
    const { bench = "", kit = "", jobs, all } = values;
    requirePath("--bench", bench, "the program of the users' bench");
    requirePath("--kit", kit, "the folder that holds the users' site files");
    const list = parseJsonc(listFile, readFileSync(join(repository, listFile), "utf8"), regressionList);
    const sites = list.sites.filter(({ isOld }) => all || !isOld);
    sites.forEach(({ file }) => requirePath(listFile, join(kit, file), "a site file that exists"));
    return sites.flatMap(({ name, file }) => {
        const startedAt = new Date().toISOString();
        const args = ["score", join(kit, file), "--quick", "--jobs", jobs, "--why", "regression run"];
        spawnSync(bench, args, { cwd: repository, stdio: ["ignore", "inherit", "inherit"] });
        const plays = readJournal();
        const play = plays.findLast(({ site, at }) =>
            site === name && at[0] >= startedAt.slice(0, at[0].length - 1)
        );
        if (play === undefined) {
            throw new ConfigError(
                `${name}: the play left no entry in journal/; read the bench's output above`,
            );
        }
        return comparePlays(play, latestPlay(plays, name, play.at[0]), list.noise);
    });
}

function requirePath(option: string, path: string, what: string): void {
    if (path === "" || !existsSync(path)) {
        throw new ConfigError(`${option}: found ${path === "" ? "nothing" : `"${path}"`}; give ${what}`);
    }
}

/** Quick scores of the journal, the oldest first. */
function readJournal(): readonly Play[] {
    const folder = join(repository, "journal");
    return readdirSync(folder).filter(name => name.endsWith(".json")).sort().flatMap(name => {
        const parsed = playEntry.safeParse(parseJson(readFileSync(join(folder, name), "utf8")));
        return parsed.success ? [parsed.data] : [];
    });
}
