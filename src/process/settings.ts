/** Schema and defaults of the daemon settings. Validation errors state the path and the permitted values. */
import { z } from "zod";
import { callerLimitsSchema } from "./caller-limit-settings.js";
import { parseJsonc } from "./jsonc.js";
import { MaintenancePolicy } from "./maintenance-planner.js";
import { VmState } from "./platform.js";
import { SlotPolicyKind } from "./slots.js";

const port = z.int({ error: "give a port number from 0 to 65535" }).min(0).max(65_535);
const ipAddress = z.union([z.ipv4(), z.ipv6()], { error: "give an IP address such as 10.0.0.5" });
const weight = z.number({ error: "give a number from 0 to 100" }).min(0).max(100);
const milliseconds = z.int({ error: "give a whole number of milliseconds" }).min(1).max(86_400_000 * 60);

const listener = z.strictObject({
    host: ipAddress.default("127.0.0.1"),
    port,
});

const tls = z.strictObject({
    certFile: z.string(),
    keyFile: z.string(),
});

/** Adds the fields that the platform would report for a VM of the embedded platform. */
function toLiveVm<T extends object>(vm: T) {
    return { ...vm, state: VmState.Live, draining: false, bootedAt: Date.now() };
}

const embeddedVm = z.strictObject({
    id: z.string().min(1),
    pool: z.string().min(1),
    address: z.url({
        protocol: /^https?$/,
        error: "give the worker's address, such as http://10.0.0.7:8080",
    }),
    bootId: z.string().default("boot-1"),
    rack: z.string().default("rack-1"),
    zone: z.string().default("zone-1"),
    cores: z.number().min(0).default(8),
    memoryGb: z.number().min(0).default(32),
    accelerators: z.number().min(0).default(0),
});

const embeddedPool = z.strictObject({
    name: z.string().min(1),
    budget: z.int().min(0).default(0),
    spare: z.boolean().default(false),
});

const platform = z.discriminatedUnion("kind", [
    z.strictObject({
        kind: z.literal("embedded"),
        vms: z.array(embeddedVm).default([]).transform(vms => vms.map(toLiveVm)),
        pools: z.array(embeddedPool).default([]),
    }),
    z.strictObject({
        kind: z.literal("http"),
        url: z.url({
            protocol: /^https?$/,
            error: "give the platform's address, such as http://10.0.0.2:7000",
        }),
        tokenFile: z.string().optional(),
    }),
], { error: 'give a platform with kind "embedded" or "http"' });

/** Schema of `celerywind.jsonc`. */
export const settingsSchema = z.strictObject({
    vm: z.string({ error: "give this VM's id as in the platform's list" }).min(1),
    zone: z.string({ error: "give this VM's availability zone" }).min(1),
    callers: listener,
    operators: listener,
    peers: listener.extend({
        secret: z.string({ error: "give the shared secret of the peer links, 16 characters or more" }).min(
            16,
        ),
        /** Addresses of peers to connect to while the platform's list of VMs cannot be read. */
        seeds: z.array(z.string()).default([]),
    }),
    tls: tls.optional(),
    platform,
    operatorToken: z.string().min(16, { error: "give a token of 16 characters or more" }).optional(),
    weights: z.strictObject({
        closeness: weight.default(1),
        bufferCost: weight.default(1),
        rollOutTime: weight.default(1),
        vmMoves: weight.default(1),
    }).prefault({}),
    /** Policy for starting the maintenance of a VM: decided by the weights, or always the same. */
    servicing: z.enum(MaintenancePolicy).default(MaintenancePolicy.LowestCost),
    slots: z.strictObject({
        policy: z.enum(SlotPolicyKind).default(SlotPolicyKind.Homed),
        perWorker: z.int().min(1).max(1024).default(8),
        connectionsPerWorker: z.int().min(1).max(4096).default(64),
    }).prefault({}),
    limits: z.strictObject({
        requestBytes: z.int().min(1024).max(64 * 1024 * 1024).default(1024 * 1024),
        answerBytes: z.int().min(1024).max(256 * 1024 * 1024).default(8 * 1024 * 1024),
        callerConnections: z.int().min(1).max(100_000).optional(),
        queuedRequests: z.int().min(1).max(1_000_000).default(2000),
    }).prefault({}),
    times: z.strictObject({
        isolation: milliseconds.default(2000),
        longestRequest: milliseconds.default(60_000),
        taskLease: milliseconds.default(15_000),
        balancerDelay: milliseconds.default(500),
        servicePeriod: milliseconds.default(28 * 86_400_000),
        headPoll: milliseconds.default(1000),
        vmListPoll: milliseconds.default(1000),
        jobPoll: milliseconds.default(1000),
        maintenanceTick: milliseconds.default(1000),
    }).prefault({}),
    /** Limits on what callers can make this entry hold, beside `limits`; the defaults follow from the heap of the process. */
    callerLimits: callerLimitsSchema,
    logLevel: z.enum(["info", "warn", "error"]).default("info"),
});

/** Validated settings of one entry, with defaults applied. */
export type Settings = z.output<typeof settingsSchema>;

/** Settings as written in the file, before defaults are applied. */
export type SettingsInput = z.input<typeof settingsSchema>;

/** Parses and validates the text of a settings file. Throws a `ConfigError` that states the path and the remedy. */
export function parseSettings(file: string, text: string): Settings {
    return parseJsonc(file, text, settingsSchema);
}
