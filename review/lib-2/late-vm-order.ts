/**
 * Case: the owner is cut off from the platform while an order for a machine is on its way. The order must not reach the machine after
 * those of the next owner.
 */
import { createServer, type IncomingMessage } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import { hasTrouble, Record, Verdict } from "./caller.js";
import { CutLink } from "./cut-link.js";
import { localAddress, Site } from "./site.js";

const machines = 6;
const cutForMs = 12_000;
const waveS = 60;
const watchMs = 32_000;

/** An order as the platform's VM API received it. */
interface Order {
    readonly machine: string;
    readonly holder: string;
    readonly fence: number;
}

const record = Record.create("9");
const orders: Order[] = [];
let platformAddress = "";

async function bodyOf(req: IncomingMessage): Promise<string> {
    let text = "";
    for await (const chunk of req) {
        text += (chunk as Buffer).toString();
    }
    return text;
}

/** The VM API: notes each order as it arrives, and lets the stand-in platform carry it out. */
const vmApi = createServer((req, res) => {
    void (async () => {
        const body = await bodyOf(req);
        if (req.method === "POST") {
            const { machine } = JSON.parse(body) as { machine: string };
            const holder = String(req.headers["celerywind-lease-holder"]);
            const fence = Number(req.headers["celerywind-fencing-token"]);
            orders.push({ machine, holder, fence });
            record.add(`${req.url ?? ""} of ${machine} arrives, from ${holder} with fence ${fence}`);
        }
        const answer = await fetch(`http://${platformAddress}${req.url ?? ""}`, {
            method: req.method ?? "GET",
            ...(body !== "" && { body, headers: { "content-type": "application/json" } }),
        });
        res.writeHead(answer.status, { "content-type": "application/json" });
        res.end(await answer.text());
    })().catch(() => res.destroy());
});
vmApi.keepAliveTimeout = 60_000;
await new Promise<void>(resolve => vmApi.listen(0, "127.0.0.1", resolve));
const vmApiAddress = vmApi.address();
const vmApiPort = typeof vmApiAddress === "object" ? vmApiAddress?.port ?? 0 : 0;

const links: CutLink[] = [];
let cutEntry = "";

/** Cuts an entry off from the platform for a while, once, as it sends an order for a machine. */
function cutOff(name: string, own: readonly CutLink[]): void {
    cutEntry = name;
    own.forEach(link => link.cut());
    record.add(`${name} is cut off from the platform, its order is on its way`);
    setTimeout(() => {
        record.add(`${name} reaches the platform again`);
        own.forEach(link => link.heal());
    }, cutForMs);
}

const site = await Site.start({
    pool: "bench",
    workers: machines,
    entries: 3,
    manifest: {
        version: 3,
        routes: [{
            name: "r1",
            host: "jobs.example",
            "path-prefix": "/open/",
            service: "bench",
            anonymous: true,
        }],
        services: [{ name: "bench", "admission-check": true }],
        tenants: [],
    },
    addressesFor: async (name, address) => {
        platformAddress = address;
        const own: CutLink[] = [];
        const store = await CutLink.create(address, () => undefined);
        const cloud = await CutLink.create(localAddress(vmApiPort), bytes => {
            if (hasTrouble && cutEntry === "" && bytes.includes("POST /v1/machine-upkeep")) {
                cutOff(name, own);
            }
        });
        own.push(store, cloud);
        links.push(...own);
        return { store: store.address, cloud: cloud.address };
    },
}).catch((err: unknown) => {
    record.add(`could not start: ${String(err)}`);
    return record.end(Verdict.NotRun);
});
const { platform } = site;
await pause(2000);
const names = platform.workers.map(({ incarnation }) => incarnation.vm);
platform.orderWave(1, names, waveS, 1);
record.add(`a wave of ${names.length} machines, one at a time, in ${waveS} s`);
await pause(watchMs);

let broken = 0;
for (const machine of names) {
    const own = orders.filter(order => order.machine === machine);
    own.forEach(({ holder, fence }, i) => {
        const higher = own.slice(0, i).find(earlier => earlier.fence > fence);
        if (higher !== undefined) {
            broken++;
            record.add(
                `ONE: ${machine} is ordered by ${holder} with fence ${fence} after ${higher.holder} with ${higher.fence}`,
            );
        }
    });
}
record.add(
    `${orders.length} orders arrived; ONE broken ${broken} times; status ${platform.waveStatusOf(1) ?? ""}`,
);
record.add(`entries that ended by themselves: ${site.ownEnds.join(", ") || "none"}`);
await site.end();
links.forEach(link => link.close());
vmApi.close();
record.end(orders.length === 0 ? Verdict.NotRun : broken > 0 ? Verdict.Broken : Verdict.Held);
