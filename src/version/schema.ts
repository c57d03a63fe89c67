/** Schema of the two lists that operators edit, and the checks that span both. */
import { z } from "zod";
import { ConfigError } from "../process/errors.js";
import { parseJsonc } from "../process/jsonc.js";

/** How soon a queue's work must be answered. */
export enum QueueClass {
    /** The caller waits for the answer. */
    Interactive = "interactive",
    /** The work may wait, and must finish. */
    Deferred = "deferred",
}

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, {
    error: "use 1 to 63 small letters, digits and hyphens, starting with a letter or digit",
});
const timeoutMsSchema = z.int({ error: "give a whole number of milliseconds from 10 to 3600000" }).min(10)
    .max(
        3_600_000,
    );

const queueSchema = z.strictObject({
    service: nameSchema,
    class: z.enum(QueueClass, { error: 'give "interactive" or "deferred"' }),
    idempotent: z.boolean({ error: "say true if running a request twice does no harm, else false" }),
    open: z.boolean().default(false),
    timeoutMs: timeoutMsSchema,
});

const planSchema = z.strictObject({
    queues: z.array(nameSchema, { error: "give the list of queue names the plan may use" }),
    share: z.number({ error: "give a share above 0, such as 1" }).positive().max(1_000_000),
    limit: z.int({ error: "give the most requests and tasks running at once, 0 or more" }).min(0).max(
        1_000_000,
    ),
});

const teamSchema = z.strictObject({
    customer: z.string({ error: "give the customer's name" }).min(1).max(200),
    plan: nameSchema,
});

/** Schema of `plans.jsonc`. */
export const plansSchema = z.strictObject({
    queues: z.record(nameSchema, queueSchema),
    plans: z.record(nameSchema, planSchema),
});

/** Schema of `teams.jsonc`. */
export const teamsSchema = z.strictObject({
    teams: z.record(nameSchema, teamSchema),
});

/** A queue: the service that runs its work, and the promises made for it. */
export type Queue = z.output<typeof queueSchema>;

/** A plan: queues, share of a full fleet, and upper limit across the fleet. */
export type Plan = z.output<typeof planSchema>;

/** A team and the plan it is on. */
export type Team = z.output<typeof teamSchema>;

/** Both lists together. */
export interface Lists {
    readonly queues: Readonly<Record<string, Queue>>;
    readonly plans: Readonly<Record<string, Plan>>;
    readonly teams: Readonly<Record<string, Team>>;
}

/** Team that callers without a key belong to; it must be listed when a queue is open. */
export const guestTeamName = "guest";

/** Lists with nothing on them, in force until the first ones are applied. */
export const emptyLists: Lists = { queues: {}, plans: {}, teams: {} };

/** The text of one list and the file name to use in messages. */
export interface ListFile {
    readonly file: string;
    readonly text: string;
}

/** Parses both lists and checks their references; throws a `ConfigError` that lists every fault found. */
export function parseLists(plans: ListFile, teams: ListFile): Lists {
    const parsedPlans = parseJsonc(plans.file, plans.text, plansSchema);
    const parsedTeams = parseJsonc(teams.file, teams.text, teamsSchema);
    const lists: Lists = { ...parsedPlans, ...parsedTeams };
    const faults = findReferenceErrors(lists, plans.file, teams.file);
    if (faults.length > 0) {
        throw new ConfigError(faults.join("\n"));
    }
    return lists;
}

function findReferenceErrors(lists: Lists, plansFile: string, teamsFile: string): string[] {
    const faults: string[] = [];
    for (const [plan, { queues }] of Object.entries(lists.plans)) {
        for (const [at, queue] of queues.entries()) {
            if (lists.queues[queue] === undefined) {
                faults.push(
                    `${plansFile}: plans.${plan}.queues.${at}: found "${queue}"; add it under queues or remove it`,
                );
            }
        }
    }
    for (const [team, { plan }] of Object.entries(lists.teams)) {
        if (lists.plans[plan] === undefined) {
            const known = Object.keys(lists.plans).join(", ");
            faults.push(`${teamsFile}: teams.${team}.plan: found "${plan}"; use one of: ${known}`);
        }
    }
    const open = Object.entries(lists.queues).find(([, queue]) => queue.open);
    if (open !== undefined && lists.teams[guestTeamName] === undefined) {
        faults.push(
            `${teamsFile}: teams: no team "${guestTeamName}"; add it, since queue "${
                open[0]
            }" is open to all`,
        );
    }
    return faults;
}

/** The plan of a team; undefined when the team is not listed. */
export function planOf(lists: Lists, team: string): Plan | undefined {
    const listed = lists.teams[team];
    return listed === undefined ? undefined : lists.plans[listed.plan];
}

/** Upper limit of a team across the fleet; a team that is not listed may run nothing. */
export function concurrencyLimitOf(lists: Lists, team: string): number {
    return planOf(lists, team)?.limit ?? 0;
}

/** Share of a team when the fleet is full. */
export function shareOf(lists: Lists, team: string): number {
    return planOf(lists, team)?.share ?? 1;
}

/** Whether a team may send work to a queue. */
export function isQueueAllowed(lists: Lists, team: string, queue: string): boolean {
    return lists.queues[queue]?.open === true || planOf(lists, team)?.queues.includes(queue) === true;
}
