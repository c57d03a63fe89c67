/** A stand-in platform: serves the embedded platform over HTTP, with fault injection. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { EmbeddedPlatform } from "../src/connection/platform/index.js";
import type { Vm } from "../src/process/platform.js";
import type { Write } from "../src/process/store.js";
import { readBody, sendResponse } from "./http.js";

/** Faults that can be injected. */
export enum PlatformFault {
    None = "none",
    /** Delays every request by 2 s. */
    Slow = "slow",
    /** Closes every connection without processing the request; only `/fault/` is still served. */
    Down = "down",
    /** Processes requests other than GET, then closes the connection instead of answering. */
    AnswerLost = "answer-lost",
}

const slowResponseDelayMs = 2000;

/** Numbers of table reads, table writes and other calls that the platform processed. */
export interface PlatformCallCounts {
    reads: number;
    writes: number;
    other: number;
}

/** The stand-in platform's HTTP server. */
export class StandinPlatform {
    fault = PlatformFault.None;
    readonly counts: PlatformCallCounts = { reads: 0, writes: 0, other: 0 };
    private server: Server | undefined;

    private constructor(private readonly embedded: EmbeddedPlatform) {}

    static create(embedded: EmbeddedPlatform): StandinPlatform {
        return new StandinPlatform(embedded);
    }

    /** Base URL of the server, valid after `start`. */
    get url(): string {
        return `http://127.0.0.1:${(this.server!.address() as AddressInfo).port}`;
    }

    /** Listens on a port of 127.0.0.1; 0 selects a free one. */
    async start(port = 0): Promise<void> {
        this.server = createServer((req, res) => void this.handle(req, res).catch(() => res.destroy()));
        await new Promise<void>(resolve => this.server!.listen(port, "127.0.0.1", resolve));
    }

    /** Closes all connections and the server. */
    async stop(): Promise<void> {
        this.server?.closeAllConnections();
        await new Promise(resolve => this.server?.close(resolve));
    }

    private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const body = await readBody(req);
        if (this.fault === PlatformFault.Down && !req.url!.startsWith("/fault/")) {
            res.destroy();
            return;
        }
        if (this.fault === PlatformFault.Slow) {
            await new Promise(resolve => setTimeout(resolve, slowResponseDelayMs));
        }
        const [status, value] = await this.route(req, body);
        if (this.fault === PlatformFault.AnswerLost && req.method !== "GET") {
            res.destroy();
            return;
        }
        sendResponse(res, status, value);
    }

    private async route(req: IncomingMessage, body: Buffer): Promise<readonly [number, unknown]> {
        const url = new URL(req.url ?? "/", "http://platform");
        const [, resource = "", name = "", detail = ""] = url.pathname.split("/").map(decodeURIComponent);
        switch (resource) {
            case "tables":
                return this.routeTables(name, detail, url, body);
            case "objects":
                return this.routeObjects(req.method ?? "", name, body);
            case "vms":
                return this.routeVms(name, detail, body);
            case "usage":
                this.counts.other++;
                return [200, await this.embedded.listUsage()];
            case "fault":
                this.fault = parseFault(name);
                return [200, { fault: this.fault }];
            default:
                return [404, {}];
        }
    }

    private async routeTables(
        name: string,
        key: string,
        url: URL,
        body: Buffer,
    ): Promise<readonly [number, unknown]> {
        if (name === "transact") {
            this.counts.writes++;
            const { writes } = JSON.parse(body.toString()) as { writes: readonly Write[] };
            const result = await this.embedded.transact(writes);
            return [result.kind === "committed" ? 200 : 409, result];
        }
        this.counts.reads++;
        if (key !== "") {
            const row = await this.embedded.get(key);
            return row === undefined ? [404, {}] : [200, row];
        }
        const query = (name: string): string => url.searchParams.get(name) ?? "";
        return [200, await this.embedded.scan(query("prefix"), query("after"), Number(query("limit")))];
    }

    private async routeObjects(
        method: string,
        key: string,
        body: Buffer,
    ): Promise<readonly [number, unknown]> {
        this.counts.other++;
        switch (method) {
            case "PUT":
                await this.embedded.putObject(key, body);
                return [200, {}];
            case "DELETE":
                await this.embedded.deleteObject(key);
                return [200, {}];
            default: {
                const object = await this.embedded.getObject(key);
                return object === undefined ? [404, {}] : [200, object];
            }
        }
    }

    private async routeVms(id: string, action: string, body: Buffer): Promise<readonly [number, unknown]> {
        this.counts.other++;
        switch (action) {
            case "drain":
                await this.embedded.drain(id);
                return [200, {}];
            case "undrain":
                await this.embedded.undrain(id);
                return [200, {}];
            case "reboot": {
                const { ifBootId } = JSON.parse(body.toString()) as { ifBootId: string };
                return [await this.embedded.reboot(id, ifBootId) ? 200 : 409, {}];
            }
            case "move":
                await this.embedded.moveVm(id, (JSON.parse(body.toString()) as { pool: string }).pool);
                return [200, {}];
            case "register":
                this.embedded.putVm(JSON.parse(body.toString()) as Vm);
                return [200, {}];
            case "drop":
                this.embedded.removeVm(id);
                return [200, {}];
            default:
                return [200, await this.embedded.listVms()];
        }
    }
}

function parseFault(name: string): PlatformFault {
    return Object.values(PlatformFault).find(fault => String(fault) === name) ?? PlatformFault.None;
}
