/** Callers as PROTOCOL.md describes them, and the record of a case. */
import { writeFileSync } from "node:fs";
import { request } from "node:http";
import { join } from "node:path";
import { root } from "./site.js";

/** Whether the case plays its disruption. */
export const hasTrouble = process.env["TROUBLE"] !== "0";

/** Verdicts of a case, as exit codes. */
export enum Verdict {
    Held = 0,
    Broken = 1,
    NotRun = 2,
}

/** What was sent, answered and run, with the time since the start of the case. */
export class Record {
    private readonly lines: string[] = [];
    private readonly startedAt = performance.now();

    private constructor(private readonly folder: string) {}

    /** The record of the case in `review/FOLDER`. */
    static create(folder: string): Record {
        return new Record(folder);
    }

    get nowMs(): number {
        return Math.round(performance.now() - this.startedAt);
    }

    add(text: string): void {
        this.lines.push(`${String(this.nowMs).padStart(6)} ms  ${text}`);
    }

    /** Writes the record and ends the process with the verdict. */
    end(verdict: Verdict): never {
        this.add(`verdict: ${Verdict[verdict].toLowerCase()} (trouble: ${hasTrouble ? "yes" : "no"})`);
        writeFileSync(join(root, "review", this.folder, "record.txt"), `${this.lines.join("\n")}\n`);
        process.exit(verdict);
    }
}

/** A call of a caller. */
export interface Call {
    readonly method: "GET" | "POST" | "DELETE";
    /** Address of an entry. */
    readonly at: string;
    readonly host: string;
    readonly path: string;
    readonly body?: unknown;
    readonly key?: string;
    readonly limitMs?: number;
}

/** Answer to a call; status 0 if there was none. */
export interface Reply {
    readonly status: number;
    readonly body: { readonly state?: string };
}

/** Sends a call over a channel of its own; never rejects. */
export function call({ method, at, host, path, body, key, limitMs = 3000 }: Call): Promise<Reply> {
    const none: Reply = { status: 0, body: {} };
    return new Promise(resolve => {
        const [hostname, port] = at.split(":");
        const headers = {
            host,
            "celerywind-deadline-ms": String(limitMs),
            ...(body !== undefined && { "content-type": "application/json" }),
            ...(key !== undefined && { authorization: `Bearer ${key}` }),
        };
        const req = request({ hostname, port, method, path, headers, agent: false }, res => {
            let text = "";
            res.on("data", (chunk: Buffer) => text += chunk.toString());
            res.on("end", () => resolve({ status: res.statusCode ?? 0, body: parse(text) }));
            res.on("error", () => resolve(none));
        });
        req.setTimeout(limitMs + 500, () => req.destroy());
        req.on("error", () => resolve(none));
        req.end(body === undefined ? undefined : JSON.stringify(body));
    });
}

function parse(text: string): Reply["body"] {
    try {
        return JSON.parse(text) as Reply["body"];
    }
    catch {
        return {};
    }
}

/** Id of a submission: 16 hexadecimal digits. */
export function idOf(number: number): string {
    return (0x5eed_0000_0000 + number).toString(16).padStart(16, "0");
}
