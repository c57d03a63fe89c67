/** Follows the cluster table of the store, which holds the members of a site and the owner rows of its domains. */
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import { FeedReader } from "../process/feed-reader.js";
import type { Log } from "../process/log.js";
import { readRow, type RowStore, type StoredRow } from "../process/rows.js";
import { sleep, type Timer } from "../process/timer.js";
import { memberPart } from "./member-rows.js";
import type { Membership } from "./membership.js";
import { ownerKey, tables } from "./ownership.js";

/** Options of `ClusterFollower.create`. */
export interface ClusterFollowerOptions {
    /** Name of the domain. */
    readonly name: string;
    readonly store: RowStore;
    readonly timer: Timer;
    readonly log: Log;
    readonly members: Membership;
    /** Whether to go on following. */
    readonly isRunning: () => boolean;
    /** Called with each owner row that was read. */
    readonly onOwnerRow: (row: StoredRow | undefined) => void;
    /** Called when the members may have changed; `fromStore` is false if they were read from a peer. */
    readonly onMembers: (source: { readonly fromStore: boolean }) => void;
}

const clusterFeedWaitMs = 4000;
/** Pause after a change of the cluster table, so that changes in quick succession are read and applied together. */
const clusterPauseMs = 50;
const retryDelayMs = 200;

/** Reads the cluster table and follows its feed of changes. */
export class ClusterFollower {
    private readonly reader: FeedReader;

    private constructor(private readonly options: ClusterFollowerOptions) {
        const { store, timer } = options;
        this.reader = FeedReader.create({ store, timer, table: tables.cluster, waitMs: clusterFeedWaitMs });
    }

    static create(options: ClusterFollowerOptions): ClusterFollower {
        return new ClusterFollower(options);
    }

    /** Follows the table until `isRunning` returns false. While the store is down, the members are read from a peer. */
    async follow(): Promise<void> {
        const { timer, log, isRunning } = this.options;
        let version: number | undefined;
        let isStoreDown = false;
        while (isRunning()) {
            try {
                version = version === undefined ? await this.readAll() : await this.readFeed(version);
                isStoreDown = false;
            }
            catch (err) {
                if (!isStoreDown) {
                    const fields = { table: tables.cluster, err: messageOf(err) };
                    log.write(Severity.Warn, EventId.StoreUnavailable, fields);
                }
                isStoreDown = true;
                await this.readFromPeer();
                await sleep(timer, retryDelayMs);
            }
        }
    }

    /** Reads the members from a peer; an error is logged, so that the table is followed on. */
    private async readFromPeer(): Promise<void> {
        const { members, log, onMembers } = this.options;
        try {
            await members.loadFromPeer();
            onMembers({ fromStore: false });
        }
        catch (err) {
            log.write(Severity.Error, EventId.TaskFailed, { task: "members", err: messageOf(err) });
        }
    }

    private async readAll(): Promise<number> {
        const { store, name, members, onOwnerRow, onMembers } = this.options;
        onOwnerRow(await readRow(store, ownerKey(name)));
        const version = await members.load();
        onMembers({ fromStore: true });
        return version;
    }

    private async readFeed(version: number): Promise<number | undefined> {
        const { members, name, timer, onOwnerRow, onMembers } = this.options;
        const result = await this.reader.next(version);
        if (result.kind === "history-lost") {
            return undefined;
        }
        const { key, part } = ownerKey(name);
        for (const row of result.rows) {
            if (row.part === memberPart) {
                members.applyRow(row);
            }
            else if (row.key === key && row.part === part) {
                onOwnerRow(row);
            }
        }
        await members.register();
        if (result.rows.length > 0) {
            onMembers({ fromStore: true });
            await sleep(timer, clusterPauseMs);
        }
        return Math.max(version, result.version);
    }
}
