/** Schema and defaults of the settings of an entry that runs jobs on a site's platform. */
import { z } from "zod";
import { callerLimitsSchema } from "./caller-limit-settings.js";
import { parseJsonc } from "./jsonc.js";

/** Highest port number. */
const maxPort = 65_535;
const maxEndpointChars = 300;

const endpointError = {
    error: `give host and port, such as 10.0.0.5:7100, with a port from 0 to ${maxPort}`,
};
const endpoint = z.string(endpointError)
    .regex(/^[^:\s]+:\d{1,5}$/, { ...endpointError, abort: true })
    .refine(text => splitEndpoint(text).port <= maxPort, endpointError);
const optionalEndpoint = z.union([endpoint, z.literal("")], endpointError).default("");
const milliseconds = z.number({ error: "give a number of milliseconds" }).min(1).max(86_400_000);
/** Orders per second. Accepts a string, since a template may render the number as text. */
const perSecond = z.coerce.number({ error: "give a number of orders per second" }).min(1);

/** Host and port of a server, with a port from 1 to 65535; the host is a name, an IPv4 or a bracketed IPv6 address. */
export const hostPort = z.string().max(maxEndpointChars)
    .regex(/^([a-z0-9._-]+|\[[0-9a-f:.]+\]):\d{1,5}$/i, { error: "no host and port", abort: true })
    .refine(text => isPort(splitEndpoint(text).port), { error: "no port from 1 to 65535" });

/** Schema of the settings, which are written as JSON with comments. */
export const siteSettingsSchema = z.object({
    /** Id of this VM. */
    entry: z.string({ error: "give this VM's id" }).min(1),
    zone: z.string().default(""),
    /** Listen address for callers. */
    callers: endpoint,
    /** Listen address for the readiness checks of the load balancer. */
    readiness: endpoint,
    /** Listen address for metrics. */
    metrics: endpoint,
    peers: z.object({
        listen: endpoint,
        /** Address at which peers reach this entry, if it differs from the listen address, as behind NAT. */
        advertise: endpoint.optional(),
        secret: z.string().min(16, {
            error: "give the shared secret of the peer links, 16 characters or more",
        }),
        /** Peers to connect to while the list of registered entries cannot be read. */
        seeds: z.array(endpoint).default([]),
    }),
    /** Addresses of the platform services. */
    store: endpoint,
    inventory: optionalEndpoint,
    adviser: optionalEndpoint,
    /** Guarantees and requirements of the platform. */
    bounds: z.object({
        /** Longest lease that workers grant. */
        longestLeaseMs: milliseconds.default(6000),
        /** Longest time that a run takes to end after its worker has received the order to stop it. */
        longestStopMs: milliseconds.default(1000),
        /** Time that a VM takes to move to another pool. */
        moveMs: milliseconds.default(1500),
        /** Time that the maintenance of a VM takes. */
        serviceMs: milliseconds.default(2000),
        /** Minimum time between orders for the same VM from two different owners. */
        holderGapMs: milliseconds.default(3000),
        /** Rate limit of the platform for VM orders per second, over all entries; empty for the default. */
        vmOrdersPerS: z.preprocess(value => value === "" ? undefined : value, perSecond.default(64)),
        /** Time after SIGTERM within which the process must have exited. */
        graceMs: milliseconds.default(6000),
        /** Time after the removal of a service task until the step counts as complete again. */
        noticeMs: milliseconds.default(4500),
    }).prefault({}),
    times: z.object({
        /** Duration of leases on workers: longer than a change of owner, short enough to restart lost work soon. */
        leaseMs: milliseconds.default(3500),
        /**
         * Maximum wait of the long poll that renews the lease on a worker; with a lease of 3.5 s, it leaves 2.3 s for a
         * change of owner.
         */
        holdWaitMs: milliseconds.default(1200),
        /** Time after the last confirmation of its ownership until an owner stops sending orders. */
        trustMs: milliseconds.default(6000),
        /** Interval between reads of the list of workers. */
        rosterMs: milliseconds.default(400),
        /** Retention of the results of final jobs; callers may query them for two minutes. */
        keepFinalMs: milliseconds.default(180_000),
        /** Delay between failing the readiness check and closing the listener during a planned stop. */
        balancerDelayMs: milliseconds.default(1200),
    }).prefault({}),
    /**
     * Number of parts of the store that hold the accepted jobs; more of them accept a burst faster while the store is slow.
     * Equal on all entries, and changed only while no job is stored.
     */
    jobParts: z.number().int().min(1).max(64).default(16),
    /** How work is ordered and placed under load. What is off is done as before it existed. */
    scheduling: z.object({
        /** While a pool is short, accounts get room by use and weight, in place of a number of jobs per second. */
        fairShares: z.boolean().default(false),
        /** Large jobs that find no room get VMs reserved; smaller ones fill the time until then. */
        reservations: z.boolean().default(false),
        /** Run times are estimated from distributions, which the next owner inherits. */
        durationHistograms: z.boolean().default(false),
        /** Workers that fail or slow what they start get less work. */
        outlierDetection: z.boolean().default(false),
        /** Tasks are placed and VMs moved so that few VMs stand half empty. */
        vmPacking: z.boolean().default(false),
        /** The demand of the pools and the moves in progress are handed to the next owner. */
        demandHandover: z.boolean().default(false),
    }).prefault({}),
    /** Limits on what callers can make this entry hold; the defaults follow from the heap of the process. */
    callerLimits: callerLimitsSchema,
    logLevel: z.enum(["info", "warn", "error"]).default("info"),
    logLinesPerSecond: z.number().min(1).default(300),
});

/** How work is ordered and placed under load. */
export type SchedulingSettings = SiteSettings["scheduling"];

/** Validated settings, with defaults applied. */
export type SiteSettings = z.output<typeof siteSettingsSchema>;

/** Parses and validates the text of a settings file. Throws a `ConfigError` that states the path and the remedy. */
export function parseSiteSettings(file: string, text: string): SiteSettings {
    return parseJsonc(file, text, siteSettingsSchema);
}

function isPort(port: number): boolean {
    return port >= 1 && port <= maxPort;
}

/** Splits an endpoint, such as `10.0.0.5:7100`, into host and port. */
export function splitEndpoint(text: string): { readonly host: string; readonly port: number } {
    const at = text.lastIndexOf(":");
    return { host: text.slice(0, at), port: Number(text.slice(at + 1)) };
}
