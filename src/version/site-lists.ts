/** Celerywind's own format of a site's lists: JSON with comments, with defaults for most fields of queues. */
import { z } from "zod";
import { ConfigError } from "../process/errors.js";
import { parseJsonc } from "../process/jsonc.js";
import type { Directory } from "./directory.js";

const resourcesSchema = z.object({
    /** Thousandths of a core. */
    cpu: z.number().min(0).default(0),
    /** Megabytes. */
    memory: z.number().min(0).default(0),
    accelerators: z.number().min(0).default(0),
});

const queueSchema = z.object({
    name: z.string().min(1, { error: "give the queue a name" }),
    /** Host and path prefix under which callers that use the platform's own interface address it. */
    host: z.string().default(""),
    pathPrefix: z.string().default(""),
    pool: z.string({ error: "name the pool whose workers run its tasks" }),
    isOpen: z.boolean().default(false),
    priority: z.number().default(0),
    maxAttempts: z.number().int().min(1).default(3),
    stretch: z.number().min(1).default(1.5),
    objectiveMs: z.number().min(0).default(500),
    timeoutMs: z.number().min(1).default(3000),
    needsAdvice: z.boolean().default(false),
});

const siteListsSchema = z.object({
    version: z.number().int(),
    queues: z.array(queueSchema),
    pools: z.array(z.object({
        name: z.string().min(1),
        guardsCapacity: z.boolean().default(true),
        isSpare: z.boolean().default(false),
    })),
    teams: z.array(z.object({
        name: z.string().min(1),
        weight: z.number().min(0).default(0),
        cap: resourcesSchema.prefault({}),
        keys: z.array(z.string()).default([]),
    })).default([]),
});

/** Parses lists read from the platform; undefined for malformed text, which `ListFollower` logs and ignores. */
export function decodeSiteLists(text: string): Directory | undefined {
    try {
        return parseSiteLists("lists", text);
    }
    catch (err) {
        if (err instanceof ConfigError) {
            return undefined;
        }
        throw err;
    }
}

/** Parses and validates lists; throws a `ConfigError` that states the path and the remedy of each error. */
export function parseSiteLists(file: string, text: string): Directory {
    const { version, queues, pools, teams } = parseJsonc(file, text, siteListsSchema);
    return {
        version,
        queues,
        pools: new Map(pools.map(pool => [pool.name, pool])),
        teams: new Map(teams.map(({ name, weight, cap }) => [name, { name, weight, cap }])),
        keys: new Map(teams.flatMap(({ name, keys }) => keys.map(key => [key, name]))),
    };
}
