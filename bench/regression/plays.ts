/** Plays of the users' bench as its journal records them, and their comparison with the plays before. Pure. */
import { z } from "zod";

/** The list of sites to play. */
export const regressionList = z.object({
    noise: z.number({ error: "give the difference that counts as noise, such as 0.03" }).min(0),
    sites: z.array(z.object({
        name: z.string().min(1, { error: "give the site's name as the journal has it" }),
        file: z.string().endsWith(".toml", { error: "give the site file, below the folder of --kit" }),
        isOld: z.boolean().default(false),
    })).min(1, { error: "list at least one site" }),
});

const dayRow = z.object({
    name: z.string(),
    /** Worth of the day. */
    G: z.number(),
    gate: z.boolean().nullish(),
    balancers: z.number().default(1),
    /** Processor seconds of all processes. */
    cpu_s: z.number().nullish(),
    kb_an_instance: z.number().nullish(),
});

/** The parts of a journal entry of a score that are compared. */
export const playEntry = z.object({
    at: z.tuple([z.string(), z.string()]),
    cmd: z.literal("score"),
    mode: z.literal("quick"),
    site: z.string(),
    score: z.number(),
    days: z.array(dayRow),
});

/** A quick score of a site. */
export type Play = z.output<typeof playEntry>;

/** How a play compares with the one before. */
export enum Verdict {
    /** There is no play before to compare with. */
    First = "first",
    Same = "same",
    Better = "better",
    Worse = "worse",
    /** A day did not pass the gate. */
    Failed = "GATE FAILED",
}

/** One line of the report. */
export interface ReportRow {
    readonly site: string;
    readonly day: string;
    readonly worth: number;
    readonly before: number | undefined;
    readonly verdict: Verdict;
    /** Processor seconds an entry. */
    readonly cpuS: number | undefined;
    readonly memoryMb: number | undefined;
}

const kbPerMb = 1024;

/** Compares a play with the latest one before it: a row for the score and one for each day. */
export function comparePlays(play: Play, before: Play | undefined, noise: number): readonly ReportRow[] {
    const scoreVerdict = play.days.every(({ gate }) => gate === true)
        ? verdictOf(play.score, before?.score, noise)
        : Verdict.Failed;
    const score: ReportRow = {
        site: play.site,
        day: "score",
        worth: play.score,
        before: before?.score,
        verdict: scoreVerdict,
        cpuS: undefined,
        memoryMb: undefined,
    };
    const days = play.days.map(({ name, G: worth, gate, balancers, cpu_s: cpu, kb_an_instance: kb }) => {
        const earlier = before?.days.find(day => day.name === name)?.G;
        return {
            site: play.site,
            day: name,
            worth,
            before: earlier,
            verdict: gate === true ? verdictOf(worth, earlier, noise) : Verdict.Failed,
            cpuS: typeof cpu === "number" ? cpu / balancers : undefined,
            memoryMb: typeof kb === "number" ? kb / kbPerMb : undefined,
        };
    });
    return [score, ...days];
}

/** The latest play of a site before a time in ISO 8601; undefined if there is none. */
export function latestPlay(plays: readonly Play[], site: string, beforeTime: string): Play | undefined {
    return plays
        .filter(play => play.site === site && play.at[0] < beforeTime)
        .sort((a, b) => a.at[0] < b.at[0] ? 1 : -1)[0];
}

/** Whether a report shows a regression. */
export function hasRegression(rows: readonly ReportRow[]): boolean {
    return rows.some(({ verdict }) => verdict === Verdict.Worse || verdict === Verdict.Failed);
}

/** The report as a table in Markdown. */
export function renderReport(rows: readonly ReportRow[]): string {
    const number = (value: number | undefined, digits: number): string => value?.toFixed(digits) ?? "";
    const lines = rows.map(({ site, day, worth, before, verdict, cpuS, memoryMb }) =>
        `| ${site} | ${day} | ${number(before, 3)} | ${number(worth, 3)} | ${verdict} | ${
            number(cpuS, 1)
        } | ${number(memoryMb, 0)} |`
    );
    return [
        "| site | day | worth before | worth | verdict | processor s an entry | memory MB |",
        "| --- | --- | --- | --- | --- | --- | --- |",
        ...lines,
        "",
    ].join("\n");
}

function verdictOf(worth: number, before: number | undefined, noise: number): Verdict {
    if (before === undefined) {
        return Verdict.First;
    }
    return worth < before - noise ? Verdict.Worse : worth > before + noise ? Verdict.Better : Verdict.Same;
}
