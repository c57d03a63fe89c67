/** Schemas of the two lists that operators edit, and the validation of references between them. */
import { z } from "zod";
import { ConfigError } from "../process/errors.js";
import { parseJsonc } from "../process/jsonc.js";

/** Latency class of a queue. */
export enum QueueClass {
    /** The caller waits for the answer. */
    Interactive = "interactive",
    /** The work may be delayed, but must finish. */
    Deferred = "deferred",
}

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, {
    error: "use 1 to 63 lower-case letters, digits and hyphens, starting with a letter or digit",
});
const timeoutMsSchema = z.int({ error: "give a whole number of milliseconds from 10 to 3600000" }).min(10)
    .max(
        3_600_000,
    );

const queueSchema = z.strictObject({
    service: nameSchema,
    class: z.enum(QueueClass, { error: 'give "interactive" or "deferred"' }),
    idempotent: z.boolean({
        error: "use true if running a request twice has no further effect, otherwise false",
    }),
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

/** A queue: the service that runs its work, and its service guarantees. */
export type Queue = z.output<typeof queueSchema>;

/** A plan: permitted queues, share of a fully loaded fleet, and concurrency limit across the fleet. */
export type Plan = z.output<typeof planSchema>;

/** A client account and its plan. */
export type Team = z.output<typeof teamSchema>;

/** The contents of both lists. */
export interface Lists {
    readonly queues: Readonly<Record<string, Queue>>;
    readonly plans: Readonly<Record<string, Plan>>;
    readonly teams: Readonly<Record<string, Team>>;
}

/** Client account of callers without a key; it must be listed when a queue is open. */
export const guestTeamName = "guest";

/** Empty lists, in force until the first ones are applied. */
export const emptyLists: Lists = { queues: {}, plans: {}, teams: {} };

/** The text of one list, and its file name for messages. */
export interface ListFile {
    readonly file: string;
    readonly text: string;
}

/** Parses both lists and checks the references between them; throws a `ConfigError` that lists all errors found. */
export function parseLists(plans: ListFile, teams: ListFile): Lists {
    const parsedPlans = parseJsonc(plans.file, plans.text, plansSchema);
    const parsedTeams = parseJsonc(teams.file, teams.text, teamsSchema);
    const lists: Lists = { ...parsedPlans, ...parsedTeams };
    const errors = findReferenceErrors(lists, plans.file, teams.file);
    if (errors.length > 0) {
        throw new ConfigError(errors.join("\n"));
    }
    return lists;
}

function findReferenceErrors(lists: Lists, plansFile: string, teamsFile: string): string[] {
    const errors: string[] = [];
    for (const [plan, { queues }] of Object.entries(lists.plans)) {
        for (const [index, queue] of queues.entries()) {
            if (lists.queues[queue] === undefined) {
                errors.push(
                    `${plansFile}: plans.${plan}.queues.${index}: found "${queue}"; add it under queues or remove it`,
                );
            }
        }
    }
    for (const [team, { plan }] of Object.entries(lists.teams)) {
        if (lists.plans[plan] === undefined) {
            const planNames = Object.keys(lists.plans).join(", ");
            errors.push(`${teamsFile}: teams.${team}.plan: found "${plan}"; use one of: ${planNames}`);
        }
    }
    const openQueue = Object.entries(lists.queues).find(([, queue]) => queue.open);
    if (openQueue !== undefined && lists.teams[guestTeamName] === undefined) {
        errors.push(
            `${teamsFile}: teams: no team "${guestTeamName}"; add it, since queue "${
                openQueue[0]
            }" is open to all`,
        );
    }
    return errors;
}

/** Plan of a client account; undefined when the account is not listed. */
export function planOf(lists: Lists, team: string): Plan | undefined {
    const listed = lists.teams[team];
    return listed === undefined ? undefined : lists.plans[listed.plan];
}

/** Concurrency limit of a client account across the fleet; 0 when the account is not listed. */
export function concurrencyLimitOf(lists: Lists, team: string): number {
    return planOf(lists, team)?.limit ?? 0;
}

/** Share of a client account in a fully loaded fleet; 1 when the account is not listed. */
export function shareOf(lists: Lists, team: string): number {
    return planOf(lists, team)?.share ?? 1;
}

/** Whether a client account may submit work to a queue. */
export function isQueueAllowed(lists: Lists, team: string, queue: string): boolean {
    return lists.queues[queue]?.open === true || planOf(lists, team)?.queues.includes(queue) === true;
}
