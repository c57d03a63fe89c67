/** One entry as a process of its own: started from its settings file, and ended only by its own id. */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { host } from "./loopback.js";

/** Options of `EntryProcess.create`. */
export interface EntryProcessOptions {
    readonly name: string;
    /** The built daemon. */
    readonly program: string;
    /** Name of the program's build; empty by default. */
    readonly build?: string;
    /** Options of the runtime; none by default. */
    readonly nodeArgs?: readonly string[];
    /** Folder for settings and logs. */
    readonly folder: string;
    readonly ports: {
        readonly callers: number;
        readonly readiness: number;
        readonly metrics: number;
        readonly peers: number;
    };
    /** Where peers reach it. */
    readonly advertise: string;
    readonly store: string;
    readonly inventory: string;
    /** Called when the process ends otherwise than it should after it was asked to. */
    readonly onBadEnd: (text: string) => void;
    /** Called when the process ends without having been asked to. */
    readonly onOwnEnd: (text: string) => void;
}

const secret = "a-secret-of-the-soak-only";
/** Time from SIGTERM to SIGKILL, in milliseconds; the site files say the same. */
export const graceMs = 6000;
const restartMs = 300;
/** Time in which a signal ends a process that does not handle it yet, on a busy machine. */
const tooEarlyMs = 1000;
/** Length of the output that is kept to explain an end, in characters. */
const keptOutputLength = 2000;

/** Why an end is expected; "too-early" for a signal that came before the program itself had begun to run. */
type Expected = "kill" | "term" | "too-early";

/** An entry. */
export class EntryProcess {
    private child: ChildProcess | undefined;
    private isWanted = true;
    /** Whether the process stood still at any time since it was asked to stop. */
    private wasPaused = false;
    private isStandingStill = false;
    /** Why the next end is expected. */
    private expected: Expected | undefined;
    private starts = 0;
    private program: string;
    private currentBuild: string;
    private buildOfNext: string;
    /** Resolves when the process has ended and its end was reported. */
    private closed: Promise<void> = Promise.resolve();

    private constructor(private readonly options: EntryProcessOptions) {
        this.program = options.program;
        this.buildOfNext = options.build ?? "";
        this.currentBuild = this.buildOfNext;
    }

    static create(options: EntryProcessOptions): EntryProcess {
        return new EntryProcess(options);
    }

    get name(): string {
        return this.options.name;
    }

    get isRunning(): boolean {
        return this.child !== undefined;
    }

    /** Id of the process that runs; undefined while there is none. */
    get pid(): number | undefined {
        return this.child?.pid;
    }

    /** Whether the process stands still. */
    get isPaused(): boolean {
        return this.isStandingStill;
    }

    /** Whether the process was asked to stop and still runs. */
    get isStopping(): boolean {
        return this.expected === "term";
    }

    /** Number of the process that runs, counted from 1; undefined while there is none. */
    get lifetime(): number | undefined {
        return this.child === undefined ? undefined : this.starts;
    }

    /** Build that the process runs, or that the last one ran. */
    get build(): string {
        return this.currentBuild;
    }

    /** Build that the next process runs. */
    get nextBuild(): string {
        return this.buildOfNext;
    }

    /** Files with the output of each process. */
    get logFiles(): readonly string[] {
        return Array.from({ length: this.starts }, (_, i) => this.logFile(i + 1));
    }

    /** Lets the next process run another program. */
    replaceProgram(program: string, build: string): void {
        this.program = program;
        this.buildOfNext = build;
    }

    /** Starts the process, again and again until `end`. */
    start(): void {
        const { program, options: { name, folder, nodeArgs = [] } } = this;
        this.currentBuild = this.buildOfNext;
        const file = join(folder, `${name}.jsonc`);
        writeFileSync(file, JSON.stringify(this.settings(), undefined, 4));
        const log = createWriteStream(this.logFile(++this.starts));
        const child = spawn(process.execPath, [...nodeArgs, program], {
            env: { CELERYWIND_SETTINGS: file, PATH: process.env["PATH"] },
            stdio: ["ignore", "pipe", "pipe"],
        });
        // Either stream may end first; the file is closed once both have.
        child.stdout.pipe(log, { end: false });
        child.stderr.pipe(log, { end: false });
        let output = "";
        const keep = (data: Buffer): void =>
            void (output = (output + data.toString()).slice(-keptOutputLength));
        child.stdout.on("data", keep);
        child.stderr.on("data", keep);
        let expected: Expected | undefined;
        child.once("exit", () => expected = this.noteEnd());
        this.closed = new Promise(resolve =>
            // The output is complete only now.
            child.once("close", (code, signal) => {
                log.end();
                this.judgeEnd(expected, code ?? signal, output);
                resolve();
            })
        );
        this.child = child;
        this.isStandingStill = false;
    }

    kill(): void {
        if (this.child !== undefined) {
            this.expected = "kill";
            this.child.kill("SIGKILL");
        }
    }

    /** Asks the process to stop; it is killed after the grace, which is a breach. */
    term(): void {
        const { child } = this;
        if (child === undefined || this.expected === "kill" || this.expected === "term") {
            return;
        }
        this.expected = handlesSignals(child) ? "term" : this.noteTooEarly(child);
        this.wasPaused = this.isStandingStill;
        child.kill("SIGTERM");
        setTimeout(() => {
            if (this.child !== child) {
                return;
            }
            if (!this.wasPaused) {
                this.options.onBadEnd(`${this.name} did not stop within ${graceMs} ms`);
            }
            this.kill();
        }, graceMs);
    }

    pause(): void {
        this.isStandingStill = true;
        this.wasPaused = true;
        this.child?.kill("SIGSTOP");
    }

    resume(): void {
        this.isStandingStill = false;
        this.child?.kill("SIGCONT");
    }

    hup(): void {
        const { child } = this;
        if (child !== undefined) {
            this.expected ??= handlesSignals(child) ? undefined : this.noteTooEarly(child);
            child.kill("SIGHUP");
        }
    }

    /** Ends the process for good; resolves when it is gone. */
    async end(): Promise<void> {
        this.kill();
        await this.ended();
    }

    /** Resolves when the process has ended; it is not started again. */
    async ended(): Promise<void> {
        this.isWanted = false;
        await this.closed;
    }

    /** Notes that the process has ended, starts it again if it is wanted, and returns why its end was expected. */
    private noteEnd(): Expected | undefined {
        const { expected } = this;
        this.child = undefined;
        this.expected = undefined;
        if (this.isWanted) {
            setTimeout(() => {
                if (this.isWanted) {
                    this.start();
                }
            }, restartMs);
        }
        return expected;
    }

    private judgeEnd(expected: Expected | undefined, result: number | string | null, output: string): void {
        if (expected === undefined) {
            this.options.onOwnEnd(`${this.name} ended by itself with ${result}: ${lastLineOf(output)}`);
        }
        else if (!isGoodEnd(expected, result)) {
            this.options.onBadEnd(`${this.name} ended with ${result} (${expected})`);
        }
    }

    /** Expects an end for a moment; a process that lives on afterwards was not hit. */
    private noteTooEarly(child: ChildProcess): Expected {
        setTimeout(() => {
            if (this.child !== child || this.expected !== "too-early") {
                return;
            }
            // A process that stands still receives the signal only when it goes on.
            this.expected = this.isStandingStill ? this.noteTooEarly(child) : undefined;
        }, tooEarlyMs);
        return "too-early";
    }

    private logFile(start: number): string {
        return join(this.options.folder, `${this.name}.${start}.log`);
    }

    private settings(): unknown {
        const { name, ports, advertise, store, inventory } = this.options;
        const at = (port: number): string => `${host}:${port}`;
        return {
            entry: name,
            callers: at(ports.callers),
            readiness: at(ports.readiness),
            metrics: at(ports.metrics),
            peers: { listen: at(ports.peers), advertise, secret, seeds: [] },
            store,
            inventory,
            bounds: { graceMs },
        };
    }
}

/** Last line that a process wrote. */
function lastLineOf(output: string): string {
    return output.trimEnd().split("\n").at(-1)!;
}

function isGoodEnd(expected: Expected, result: number | string | null): boolean {
    switch (expected) {
        case "kill":
        case "too-early":
            return true;
        case "term":
            return result === 0;
    }
}

/**
 * Whether the program handles signals by now, by the system's own word: bit 0 of the caught signals is SIGHUP. While
 * the runtime starts, no program can, and a signal ends the process.
 */
export function handlesSignals({ pid }: ChildProcess): boolean {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const caught = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? "0";
    return (BigInt(`0x${caught}`) & 1n) === 1n;
}
