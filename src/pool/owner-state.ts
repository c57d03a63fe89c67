/**
 * What an owner has learned and the next one needs: each part is one row, stored with the owner's batches and read by the
 * next owner before its first start. Losing a row costs knowledge, never a guarantee.
 */
import { EventId, Severity } from "../process/events.js";
import { parseJson } from "../process/json.js";
import type { Log } from "../process/log.js";
import { readAll, type RowPut, type RowStore, type StoredRow } from "../process/rows.js";
import type { Timer } from "../process/timer.js";
import { tables } from "./ownership.js";

/** A part of an owner's knowledge. */
export interface StatePart {
    /** Key of its row within the domain. */
    readonly name: string;
    /** Text to store, at most `maxPartBytes` long; undefined if it has not changed since it was last encoded. */
    encode(): string | undefined;
    /** Restores the part from a text that was stored `ageMs` milliseconds ago; false if the text is malformed. */
    restore(text: string, ageMs: number): boolean;
}

/** Options of `OwnerState.create`. */
export interface OwnerStateOptions {
    readonly domain: string;
    readonly store: Pick<RowStore, "read">;
    readonly timer: Timer;
    readonly log: Log;
    readonly parts: readonly StatePart[];
}

/** Longest text of a part. Rows hold 64 KiB, of which base64 and the envelope leave two thirds. */
export const maxPartBytes = 40_000;
/** Shortest time between two rows of one part; what was learned within it may be lost with the owner. */
const storePeriodMs = 500;

/** The stored parts of an owner's knowledge. */
export class OwnerState {
    private readonly storedAt = new Map<StatePart, number>();

    private constructor(private readonly options: OwnerStateOptions) {}

    static create(options: OwnerStateOptions): OwnerState {
        return new OwnerState(options);
    }

    /** Restores the parts from the rows of the previous owner; rejects with a `PlatformError` if they cannot be read. */
    async load(): Promise<void> {
        const { store, domain, parts } = this.options;
        if (parts.length > 0) {
            const { rows } = await readAll(store, { table: tables.ownerState, part: domain });
            rows.forEach(row => this.restore(row));
        }
    }

    /** Rows to store with the next batch. */
    takeRows(): readonly RowPut[] {
        const { timer, parts, domain } = this.options;
        const now = timer.now();
        return parts.flatMap(part => {
            if (now - (this.storedAt.get(part) ?? -Infinity) < storePeriodMs) {
                return [];
            }
            const text = part.encode();
            if (text === undefined) {
                return [];
            }
            this.storedAt.set(part, now);
            const value = JSON.stringify([Math.round(timer.wall()), text]);
            return [{ table: tables.ownerState, part: domain, key: part.name, value }];
        });
    }

    private restore({ key, value }: StoredRow): void {
        const { parts, timer, log } = this.options;
        const part = parts.find(({ name }) => name === key);
        const content = parseJson(value);
        const [storedAtMs, text] = Array.isArray(content) ? content as unknown[] : [];
        const isRestored = typeof storedAtMs === "number" && typeof text === "string"
            && part?.restore(text, Math.max(0, timer.wall() - storedAtMs)) === true;
        if (part !== undefined && !isRestored) {
            log.write(Severity.Warn, EventId.RowMalformed, { table: tables.ownerState, key });
        }
    }
}
