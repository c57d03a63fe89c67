/** Settings of an entry that runs jobs on a site's platform; JSON with comments, checked when loaded. */
import { z } from "zod";
import { parseJsonc } from "./jsonc.js";

const endpoint = z.string().regex(/^[^:\s]+:\d{1,5}$/, {
    error: "give host and port, such as 10.0.0.5:7100",
});
const milliseconds = z.number({ error: "give a number of milliseconds" }).min(1).max(86_400_000);
/** A rate, which a template may render as text. */
const perSecond = z.coerce.number({ error: "give a number of orders per second" }).min(1);

/** Schema of the settings. */
export const siteSettingsSchema = z.object({
    /** Id of this VM. */
    entry: z.string({ error: "give this VM's id" }).min(1),
    zone: z.string().default(""),
    /** Where callers are served. */
    callers: endpoint,
    /** Where the balancer asks whether this entry is ready. */
    readiness: endpoint,
    /** Where metrics are served. */
    metrics: endpoint,
    peers: z.object({
        listen: endpoint,
        /** Where peers reach this entry when that differs from where it listens, as behind address translation. */
        advertise: endpoint.optional(),
        secret: z.string().min(16, {
            error: "give the shared secret of the peer links, 16 characters or more",
        }),
        /** Peers to try while the list of members cannot be read. */
        seeds: z.array(endpoint).default([]),
    }),
    /** Addresses of the platform. */
    store: endpoint,
    inventory: endpoint.or(z.literal("")).default(""),
    adviser: endpoint.or(z.literal("")).default(""),
    /** What the platform promises or demands. */
    bounds: z.object({
        /** Longest lease that workers grant. */
        longestLeaseMs: milliseconds.default(6000),
        /** Time in which a VM joins another pool. */
        moveMs: milliseconds.default(1500),
        /** Time that the service of a VM takes. */
        serviceMs: milliseconds.default(2000),
        /** Time between orders of two holders for the same VM. */
        holderGapMs: milliseconds.default(3000),
        /** Orders for VMs that the platform takes in a second, from all entries together; empty for the default. */
        vmOrdersPerS: z.preprocess(value => value === "" ? undefined : value, perSecond.default(64)),
        /** Time after SIGTERM in which the process must have ended. */
        graceMs: milliseconds.default(6000),
        /** Time from the removal of a service task to the moment when its step counts as whole again. */
        noticeMs: milliseconds.default(4500),
    }).prefault({}),
    times: z.object({
        /** Leases on workers: longer than a change of owner, short enough that lost work restarts soon. */
        leaseMs: milliseconds.default(3500),
        /** Longest wait of a hold; with the lease it leaves 2.3 s for a change of owner. */
        holdWaitMs: milliseconds.default(1200),
        /** Time without confirmed ownership after which an owner gives no more orders. */
        trustMs: milliseconds.default(6000),
        rosterMs: milliseconds.default(400),
        /** How long the outcome of a job is remembered; callers may ask for two minutes. */
        keepFinalMs: milliseconds.default(180_000),
        /** Delay between failing readiness and closing the listener on a planned stop. */
        balancerDelayMs: milliseconds.default(1200),
    }).prefault({}),
    logLevel: z.enum(["info", "warn", "error"]).default("info"),
    logLinesPerSecond: z.number().min(1).default(300),
});

/** Checked settings. */
export type SiteSettings = z.output<typeof siteSettingsSchema>;

/** Parses and checks the text of a settings file; throws a `ConfigError` that names path and remedy. */
export function parseSiteSettings(file: string, text: string): SiteSettings {
    return parseJsonc(file, text, siteSettingsSchema);
}

/** Host and port of an endpoint. */
export function splitEndpoint(text: string): { readonly host: string; readonly port: number } {
    const at = text.lastIndexOf(":");
    return { host: text.slice(0, at), port: Number(text.slice(at + 1)) };
}
