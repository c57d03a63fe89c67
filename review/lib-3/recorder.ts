/** Writes what was sent, answered and run to `record.txt`, one line each with the time since the start. */
import { appendFileSync, writeFileSync } from "node:fs";

/** Record of a case. */
export class Recorder {
    private readonly startedAt = performance.now();

    private constructor(private readonly file: string) {
        writeFileSync(file, "");
    }

    static create(file: string): Recorder {
        return new Recorder(file);
    }

    /** Time since the start, in milliseconds. */
    get now(): number {
        return performance.now() - this.startedAt;
    }

    write(what: string, fields: Readonly<Record<string, unknown>> = {}): void {
        const text = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`).join(" ");
        appendFileSync(this.file, `${(this.now / 1000).toFixed(3).padStart(8)} ${what} ${text}\n`);
    }
}
