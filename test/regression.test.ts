import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { describe, expect, test } from "vitest";
import {
    comparePlays,
    hasRegression,
    latestPlay,
    type Play,
    regressionList,
    renderReport,
    Verdict,
} from "../bench/regression/plays.js";
import { parseJsonc } from "../src/process/jsonc.js";

const repository = fileURLToPath(new URL("../", import.meta.url));

function playOf(at: string, score: number, worth: number, gate = true): Play {
    const days = [{ name: "quiet-1", G: worth, gate, balancers: 10, cpu_s: 25, kb_an_instance: 61_440 }];
    return { at: [at, at], cmd: "score", mode: "quick", site: "s", score, days };
}

describe("a regression report", () => {
    test("tells what is worse, better and within noise", () => {
        const before = playOf("2026-01-01", 0.5, 0.5);
        const verdictOf = (score: number): Verdict =>
            comparePlays(playOf("2026-01-02", score, 0.5), before, 0.03)[0]!.verdict;
        expect(verdictOf(0.48)).toBe(Verdict.Same);
        expect(verdictOf(0.46)).toBe(Verdict.Worse);
        expect(verdictOf(0.54)).toBe(Verdict.Better);
        expect(comparePlays(before, undefined, 0.03)[0]!.verdict).toBe(Verdict.First);
    });

    test("fails on a day that did not pass the gate, whatever its worth", () => {
        const rows = comparePlays(
            playOf("2026-01-02", 0.9, 0.9, false),
            playOf("2026-01-01", 0.1, 0.1),
            0.03,
        );
        expect(rows.map(({ verdict }) => verdict)).toEqual([Verdict.Failed, Verdict.Failed]);
        expect(hasRegression(rows)).toBe(true);
    });

    test("gives processor time an entry and memory", () => {
        const [, day] = comparePlays(playOf("2026-01-02", 0.5, 0.5), undefined, 0.03);
        expect(day).toMatchObject({ cpuS: 2.5, memoryMb: 60 });
        expect(renderReport([day!])).toContain("| s | quiet-1 |  | 0.500 | first | 2.5 | 60 |");
    });

    test("compares with the latest play before", () => {
        const plays = [
            playOf("2026-01-01", 0.1, 0.1),
            playOf("2026-01-03", 0.3, 0.3),
            playOf("2026-01-02", 0.2, 0.2),
        ];
        expect(latestPlay(plays, "s", "2026-01-03")?.score).toBe(0.2);
        expect(latestPlay(plays, "other", "2026-01-03")).toBeUndefined();
    });
});

describe("a regression run", () => {
    test("has a list of sites that is valid, with the large site among those played by default", () => {
        const file = "deploy/regression.jsonc";
        const { sites } = parseJsonc(file, readFileSync(`${repository}${file}`, "utf8"), regressionList);
        expect(sites.filter(({ isOld }) => !isOld).map(({ name }) => name)).toContain("nfwc-wind-large");
    });

    test("without the users' bench ends with an error that says what to give", () => {
        const { status, stderr } = spawnSync("node", ["--import", "tsx", "bench/regression/main.ts"], {
            cwd: repository,
            encoding: "utf8",
        });
        expect(status).toBe(2);
        expect(stderr).toContain("--bench: found nothing; give the program of the users' bench");
    });
});
