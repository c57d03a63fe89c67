/**
 * `npm run standin:platform`: runs the stand-in platform as a separate process, with pools and VMs read from a file.
 */
import { readFile } from "node:fs/promises";
import { parseArgs } from "node:util";
import { request } from "undici";
import { z } from "zod";
import { EmbeddedPlatform } from "../src/connection/platform/index.js";
import { parseJsonc } from "../src/process/jsonc.js";
import { type Vm, VmState } from "../src/process/platform.js";
import { StandinPlatform } from "./platform.js";
import { parsePortFlag } from "./port-flag.js";

const { values } = parseArgs({
    options: {
        port: { type: "string", default: "7000" },
        vms: { type: "string", default: "examples/standin/vms.jsonc" },
    },
});

const fileSchema = z.strictObject({
    pools: z.array(
        z.strictObject({ name: z.string(), budget: z.number(), spare: z.boolean().default(false) }),
    ),
    vms: z.array(z.strictObject({
        id: z.string(),
        pool: z.string(),
        address: z.string(),
        rack: z.string().default("rack-1"),
        zone: z.string().default("zone-1"),
        bootId: z.string().optional(),
        upDays: z.number().default(1),
        cores: z.number().default(32),
        memoryGb: z.number().default(128),
        accelerators: z.number().default(0),
    })),
});

const dayMs = 86_400_000;
const bootPollIntervalMs = 100;
const port = parsePortFlag(values.port);
const { pools, vms } = parseJsonc(values.vms, await readFile(values.vms, "utf8"), fileSchema);
const embedded = EmbeddedPlatform.create({
    pools,
    vms: vms.map(({ upDays, bootId, ...vm }): Vm => ({
        ...vm,
        bootId: bootId ?? `${vm.id}-boot-1`,
        bootedAt: Date.now() - upDays * dayMs,
        state: VmState.Live,
        draining: false,
    })),
    restart: vm => reboot(vm),
    usage: async vm => vm.pool === "entry" ? 0 : (await post(`${vm.address}/usage`)).running,
});
const platform = StandinPlatform.create(embedded);
await platform.start(port);
console.log(`platform listening on ${platform.url}`);
process.once("SIGTERM", () => void platform.stop().then(() => process.exit(0)));

async function reboot({ address }: Vm): Promise<string> {
    const previousBootId = (await post(`${address}/reboot`)).bootId;
    for (;;) {
        await new Promise(resolve => setTimeout(resolve, bootPollIntervalMs));
        const usage = await post(`${address}/usage`).catch(() => undefined);
        if (usage !== undefined && usage.bootId !== previousBootId) {
            return usage.bootId;
        }
    }
}

async function post(url: string): Promise<{ readonly bootId: string; readonly running: number }> {
    const res = await request(url, { method: "POST" });
    return await res.body.json() as { bootId: string; running: number };
}
