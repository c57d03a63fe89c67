/** Entries: the deploy file's program as processes, with settings rendered from its template. */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, readdirSync, readFileSync, readlinkSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { join } from "node:path";
import type { Recorder } from "./recorder.js";

/** Values that a template is filled in from. */
export type Fields = Readonly<Record<string, unknown>>;

/** Options of `Entry.create`. */
export interface EntryOptions {
    readonly name: string;
    /** Address of its machine. */
    readonly ip: string;
    /** Folder for settings and logs. */
    readonly folder: string;
    /** Values for its settings beside those of its own. */
    readonly fields: Fields;
    readonly seeds: readonly string[];
    readonly ports: Ports;
    /** Where peers reach it, if that differs from the address at which it listens. */
    readonly advertise?: string;
    readonly recorder: Recorder;
}

/** Ports of an entry. */
export interface Ports {
    readonly front: number;
    readonly ready: number;
    readonly control: number;
}

const restartMs = 300;
/** Processes that run; they end with this one, however it ends. */
const running = new Set<ChildProcess>();
process.on("exit", () => running.forEach(child => child.kill("SIGKILL")));

/** One entry. */
export class Entry {
    private child: ChildProcess | undefined;
    private isWanted = true;
    private starts = 0;

    private constructor(readonly options: EntryOptions) {}

    static create(options: EntryOptions): Entry {
        return new Entry(options);
    }

    get name(): string {
        return this.options.name;
    }

    /** Address for callers. */
    get front(): string {
        return `${this.options.ip}:${this.options.ports.front}`;
    }

    get ready(): string {
        return `${this.options.ip}:${this.options.ports.ready}`;
    }

    get pid(): number | undefined {
        return this.child?.pid;
    }

    /** Starts the process; it is started again when it ends, until `end`. */
    start(): void {
        const { name, folder, recorder } = this.options;
        const file = join(folder, `${name}.jsonc`);
        writeFileSync(file, this.settings());
        const [program, ...args] = deployedCommand();
        const log = createWriteStream(join(folder, `${name}.${++this.starts}.log`));
        const child = spawn(program === "node" ? process.execPath : program!, args, {
            env: { CELERYWIND_SETTINGS: file, PATH: process.env["PATH"], HOME: process.env["HOME"] },
            stdio: ["ignore", "pipe", "pipe"],
        });
        child.stdout.pipe(log, { end: false });
        child.stderr.pipe(log, { end: false });
        child.once("exit", (code, signal) => {
            recorder.write("process ends", { entry: name, with: code ?? signal });
            running.delete(child);
            this.child = undefined;
            if (this.isWanted) {
                setTimeout(() => this.isWanted && this.start(), restartMs);
            }
        });
        this.child = child;
        running.add(child);
        recorder.write("process starts", { entry: name });
    }

    signal(name: NodeJS.Signals): void {
        this.options.recorder.write("signal", { entry: this.name, name });
        this.child?.kill(name);
    }

    /** Ends the process for good. */
    end(): void {
        this.isWanted = false;
        this.child?.kill("SIGKILL");
    }

    /** Whether the process has the connection on loopback from one port to another. */
    hasConnection(from: number, to: number): boolean {
        const inode = inodeOf(from, to);
        const { pid } = this;
        if (inode === undefined || pid === undefined) {
            return false;
        }
        try {
            return readdirSync(`/proc/${pid}/fd`).some(fd =>
                linkOf(`/proc/${pid}/fd/${fd}`) === `socket:[${inode}]`
            );
        }
        catch {
            return false;
        }
    }

    private settings(): string {
        const { name, ip, ports: { front, ready, control }, seeds, fields, advertise } = this.options;
        const text = render(readFileSync("deploy/settings.jsonc", "utf8"), {
            ...fields,
            "node": name,
            "zone": "zone-a",
            ip,
            "listen": { front: `${ip}:${front}`, ready: `${ip}:${ready}`, control: `${ip}:${control}` },
            "seed-addrs": seeds,
        });
        return advertise === undefined
            ? text
            : text.replace('"peers": {', `"peers": {\n        "advertise": "${advertise}",`);
    }
}

/** The words of `run` in the deploy file. */
function deployedCommand(): readonly string[] {
    const run = /^run = "(.*)"$/m.exec(readFileSync("deploy/system.toml", "utf8"))?.[1];
    if (run === undefined) {
        throw new Error("deploy/system.toml names no program");
    }
    return run.split(" ");
}

/** Fills in a template as DEPLOY.md tells it, as far as the template of this project goes. */
function render(template: string, fields: Fields): string {
    const sections = template.replace(
        /\{\{#([\w.-]+)\}\}(.*?)\{\{\/\1\}\}/gs,
        (_, name: string, inner: string) => {
            const items = lookUp(fields, name) as readonly unknown[];
            return items.map((item, at) =>
                inner.replaceAll("{{,}}", at < items.length - 1 ? "," : "")
                    .replaceAll("{{.|json}}", JSON.stringify(item))
                    .replaceAll("{{.}}", String(item))
            ).join("");
        },
    );
    return sections.replace(/\{\{([\w.-]+)(\|json)?\}\}/g, (_, name: string, json?: string) => {
        const value = lookUp(fields, name) ?? "";
        return json === undefined && typeof value === "string" ? value : JSON.stringify(value);
    });
}

function lookUp(fields: Fields, name: string): unknown {
    return name.split(".").reduce<unknown>(
        (value, part) => (value as Fields | undefined)?.[part],
        fields,
    );
}

/** Inode of the socket that is connected from one port to another. */
function inodeOf(from: number, to: number): string | undefined {
    const hex = (port: number): string => `:${port.toString(16).toUpperCase().padStart(4, "0")}`;
    return readFileSync("/proc/net/tcp", "utf8").split("\n").map(line => line.trim().split(/\s+/))
        .find(([, local = "", remote = ""]) => local.endsWith(hex(from)) && remote.endsWith(hex(to)))?.[9];
}

function linkOf(path: string): string {
    try {
        return readlinkSync(path);
    }
    catch {
        return "";
    }
}

/** Free ports of an address. */
export async function freePorts(ip: string): Promise<Ports> {
    const servers = await Promise.all(
        ["front", "ready", "control"].map(() =>
            new Promise<ReturnType<typeof createServer>>(resolve => {
                const server = createServer();
                server.listen(0, ip, () => resolve(server));
            })
        ),
    );
    const [front, ready, control] = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return { front: front!, ready: ready!, control: control! };
}
