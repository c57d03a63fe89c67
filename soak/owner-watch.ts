/** Watches who owns the site in a round, by the owner row, and judges fencing tokens and the time without an owner. */
import { z } from "zod";
import { leaseBoundsKey } from "../src/pool/lease-bounds.js";
import { ownerKey } from "../src/pool/ownership.js";
import { parseJson } from "../src/process/json.js";
import type { RowKey } from "../src/process/rows.js";

/** An entry whose process may own the site. */
export interface WatchedEntry {
    readonly name: string;
    /** Build that its process runs, or ran last. */
    readonly build: string;
    /** Number of the process that runs, counted from 1; undefined while there is none. */
    readonly lifetime: number | undefined;
    readonly isPaused: boolean;
    readonly isStopping: boolean;
}

/** Time in which one process owned the site. */
export interface OwnerTenure {
    readonly entry: string;
    readonly build: string;
    readonly lifetime: number | undefined;
    /** Fencing token in the owner row. */
    readonly fence: number;
    /** Monotonic time, in milliseconds. */
    readonly at: number;
    /** Monotonic time at which its process was seen to have ended, in milliseconds. */
    endedAt: number | undefined;
    /** Whether its process was seen to have ended, to stand still, or to be stopping, or the store to be harmed. */
    isDisturbed: boolean;
    /** Whether it replaced an owner whose process was not disturbed. */
    readonly isUnprompted: boolean;
    /** Orders to workers by fencing token. */
    readonly orders: Map<number, number>;
}

/** Options of `OwnerWatch.create`. */
export interface OwnerWatchOptions {
    /** Value of a row; undefined if there is none. */
    readonly find: (key: RowKey) => string | undefined;
    readonly entries: readonly WatchedEntry[];
    /** Whether answers of the store are lost or come late. */
    readonly isStoreHarmed: () => boolean;
}

/** A call that a worker received. */
export interface WatchedCall {
    readonly path: string;
    readonly body: Readonly<Record<string, unknown>>;
}

/** Name of the site's domain in the store. */
const domain = "main";
/** Longest time without an owner whose process runs: silence of the last one, the store's answers, and a busy machine. */
const maxOwnerlessMs = 5000;
/**
 * Most changes of the owner in a round while its process runs undisturbed. Slow processes of a busy machine cause a few.
 * Entries that do not take the owner's heartbeats for its own replace it every second or two.
 */
const maxUnprompted = 2;
/** Time after the end of a process in which its orders may still arrive, since links delay them. */
const orderSlackMs = 1000;

const ownerRow = z.object({ entry: z.string(), fence: z.number().int().positive() });
const boundsRow = z.looseObject({ fence: z.number().int().positive() });

/** Owners of the site, as seen in the store at each `observe`. */
export class OwnerWatch {
    readonly tenures: OwnerTenure[] = [];
    private readonly found: { readonly at: number; readonly text: string }[] = [];
    private readonly boundsFields = new Set<string>();
    private seenCalls = 0;
    private servedAt: number | undefined;
    private isGapReported = false;
    private longestGapMs = 0;

    private constructor(private readonly options: OwnerWatchOptions) {}

    static create(options: OwnerWatchOptions): OwnerWatch {
        return new OwnerWatch(options);
    }

    /** The last owner. */
    get owner(): OwnerTenure | undefined {
        return this.tenures.at(-1);
    }

    /** Looks at the owner row, the row of lease bounds, and the calls that are new since the last time. */
    observe(now: number, calls: readonly WatchedCall[]): void {
        const text = this.options.find(ownerKey(domain));
        const row = text === undefined ? undefined : ownerRow.safeParse(parseJson(text));
        if (row?.success === false) {
            this.report(now, `the owner row cannot be read: ${text}`);
        }
        this.noteEnds(now);
        if (row?.success === true) {
            this.noteOwner(now, row.data.entry, row.data.fence);
            this.checkBounds(now, row.data.fence);
        }
        this.noteGap(now, row?.data?.entry);
        calls.slice(this.seenCalls).forEach(call => this.noteOrder(now, call));
        this.seenCalls = calls.length;
    }

    /** Breaches, each as a sentence. */
    breaches(startedAt: number): readonly string[] {
        const unprompted = this.tenures.filter(({ isUnprompted }) => isUnprompted).length;
        const missing = this.passes().filter(([, count]) => count === 0);
        return [
            ...this.found.map(({ at, text }) => `${Math.round(at - startedAt)} ms: ${text}`),
            ...missing.map(([pass]) => `the ownership never passed ${pass}`),
            ...unprompted > maxUnprompted
                ? [`the owner was replaced ${unprompted} times while its process ran undisturbed`]
                : [],
        ];
    }

    /** Tenures with their fencing tokens, and figures, each as a line. */
    summary(startedAt: number): readonly string[] {
        const tenures = this.tenures.map(({ entry, build, fence, at, orders, isUnprompted }) => {
            const tokens = [...orders.keys()].sort((a, b) => a - b);
            const count = [...orders.values()].reduce((sum, n) => sum + n, 0);
            const used = count === 0
                ? "no orders"
                : `${count} orders, tokens ${tokens[0]} to ${tokens.at(-1)}`;
            return `${Math.round(at - startedAt)} ms: ${entry} (${build}) owns with fence ${fence}${
                isUnprompted ? ", unprompted" : ""
            }; ${used}`;
        });
        const passes = this.passes().map(([pass, count]) => `${pass} ${count}`).join(", ");
        return [
            ...tenures,
            `${this.tenures.length} owners (${passes}); longest time without one ${
                Math.round(this.longestGapMs)
            } ms; fields of the lease bounds: ${[...this.boundsFields].join(", ")}`,
        ];
    }

    /** How often the ownership passed from one build to another. */
    private passes(): readonly (readonly [string, number])[] {
        const builds = ["old", "new"];
        return builds.map(from => {
            const count = this.tenures.filter(({ build }, i) =>
                build !== from && this.tenures[i - 1]?.build === from
            ).length;
            return [`from ${from} to ${builds.find(build => build !== from)}`, count] as const;
        });
    }

    private noteEnds(now: number): void {
        for (const tenure of this.tenures) {
            const isThere = this.isProcessThere(tenure);
            const entry = this.entryOf(tenure.entry);
            tenure.isDisturbed ||= this.options.isStoreHarmed() || !isThere || entry?.isPaused === true
                || entry?.isStopping === true;
            if (tenure.endedAt === undefined && !isThere) {
                tenure.endedAt = now;
            }
        }
    }

    private noteOwner(now: number, name: string, fence: number): void {
        const { owner } = this;
        if (owner !== undefined && fence < owner.fence) {
            this.report(now, `the fence of the owner row falls from ${owner.fence} to ${fence}`);
        }
        const isSame = owner?.fence === fence && (name === "" || owner.entry === name);
        if (isSame || name === "") {
            return;
        }
        if (owner?.fence === fence) {
            this.report(now, `${name} owns with fence ${fence}, as ${owner.entry} did`);
        }
        const entry = this.entryOf(name);
        if (entry === undefined) {
            this.report(now, `the owner row names the entry "${name}", which is none`);
            return;
        }
        const { build, lifetime } = entry;
        this.tenures.push({
            entry: name,
            build,
            lifetime,
            fence,
            at: now,
            endedAt: lifetime === undefined ? now : undefined,
            isDisturbed: lifetime === undefined,
            isUnprompted: owner?.isDisturbed === false,
            orders: new Map(),
        });
    }

    /** The next owner uses the bounds only if they are of the fence of the owner row; both are written together. */
    private checkBounds(now: number, fence: number): void {
        const text = this.options.find(leaseBoundsKey(domain));
        const bounds = text === undefined ? undefined : boundsRow.safeParse(parseJson(text));
        if (bounds?.success !== true) {
            this.report(now, `the lease bounds beside fence ${fence} cannot be read: ${text}`);
            return;
        }
        Object.keys(bounds.data).forEach(field => this.boundsFields.add(field));
        if (bounds.data.fence !== fence) {
            this.report(
                now,
                `the lease bounds are of fence ${bounds.data.fence}, the owner row is of ${fence}`,
            );
        }
    }

    private noteGap(now: number, name: string | undefined): void {
        const { owner } = this;
        const entry = this.entryOf(name);
        const isServed = owner !== undefined && entry?.name === owner.entry && this.isProcessThere(owner)
            && !entry.isPaused;
        this.servedAt ??= now;
        const gapMs = now - this.servedAt;
        this.longestGapMs = Math.max(this.longestGapMs, gapMs);
        if (isServed) {
            this.servedAt = now;
            this.isGapReported = false;
        }
        else if (gapMs > maxOwnerlessMs && !this.isGapReported) {
            this.isGapReported = true;
            this.report(now, `no running process has owned the site for ${maxOwnerlessMs} ms`);
        }
    }

    private noteOrder(now: number, { path, body: { fence } }: WatchedCall): void {
        if (!["/v1/run-start", "/v1/run-stop", "/v1/hold", "/v1/pace"].includes(path)) {
            return;
        }
        const token = Number(fence);
        const tenure = this.tenures.find(candidate => token <= candidate.fence);
        if (tenure === undefined || !(token > 0)) {
            this.report(now, `${path} has the fence ${String(fence)}, which no owner row has reached`);
            return;
        }
        tenure.orders.set(token, (tenure.orders.get(token) ?? 0) + 1);
        if (tenure.endedAt !== undefined && now - tenure.endedAt > orderSlackMs) {
            this.report(now, `${path} has the fence ${token} of ${tenure.entry}, whose process has ended`);
        }
    }

    private isProcessThere({ entry, lifetime }: OwnerTenure): boolean {
        return lifetime !== undefined
            && this.entryOf(entry)?.lifetime === lifetime;
    }

    private entryOf(name: string | undefined): WatchedEntry | undefined {
        return this.options.entries.find(candidate => candidate.name === name);
    }

    /** Notes each text once. */
    private report(at: number, text: string): void {
        if (!this.found.some(other => other.text === text)) {
            this.found.push({ at, text });
        }
    }
}
