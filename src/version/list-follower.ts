/**
 * Task that keeps the operators' lists of an entry up to date. It follows the operator feed, and pulls newer versions
 * from peers, which covers an entry whose own feed is delayed or cannot be read.
 */
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import { FeedReader } from "../process/feed-reader.js";
import type { Task } from "../process/hub.js";
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import type { Peers } from "../process/peers.js";
import { readAll, type RowStore, type StoredRow } from "../process/rows.js";
import { type Cancel, sleep, type Timer } from "../process/timer.js";
import type { Directory } from "./directory.js";
import { decodeListsResponse, ListsEncoder, type ListsRequest } from "./list-transfer.js";
import type { MaintenanceWave, OperatorTable } from "./operator-table.js";
import type { ZoneEvacuations } from "./zone-evacuations.js";

/** Options of `ListFollower.create`. */
export interface ListFollowerOptions {
    readonly store: RowStore;
    readonly operatorTable: OperatorTable;
    /** Decodes the text of the lists; undefined when it is malformed. */
    readonly decode: (text: string) => Directory | undefined;
    readonly zones: ZoneEvacuations;
    readonly peers: Peers;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
    /** Called after new lists or a wave took effect. */
    readonly onChange: () => void;
}

interface VersionAnnouncement {
    readonly version: number;
}

const versionTopic = "lists.version";
const pullTopic = "lists.pull";
/** Source of lists that were read from the store; others are named by the peer. */
const feedSource = "feed";
const feedRetryDelayMs = 200;
const announceIntervalMs = 500;
/** Time until a peer's response begins to arrive. */
const pullTimeoutMs = 600;
/** Time for which the answer of the feed may go on arriving before newer lists are pulled all the same. */
const feedPreferenceMs = 2000;
/** Time for which the feed may still deliver an announced version before it is pulled from the peer. */
const pullDelayMs = 150;

/** Follows the operators' lists and maintenance waves for one entry. */
export class ListFollower implements Task {
    readonly name = "list-follower";
    private currentDirectory: Directory | undefined;
    private currentText = "";
    private adoptedAt = -Infinity;
    private isRunning = false;
    private isPulling = false;
    /** Start of the first of the reads of the feed that have failed since one was answered; undefined if none has. */
    private feedLostAt: number | undefined;
    private failedReadCount = 0;
    private announcedCount = 0;
    private readonly knownWaves = new Map<number, MaintenanceWave>();
    private readonly cancels: Cancel[] = [];

    private readonly reader: FeedReader;
    private readonly encoder = ListsEncoder.create();

    private constructor(private readonly options: ListFollowerOptions) {
        const { store, timer, operatorTable } = options;
        this.reader = FeedReader.create({ store, timer, table: operatorTable.name });
    }

    static create(options: ListFollowerOptions): ListFollower {
        return new ListFollower(options);
    }

    /** The lists in force; undefined until the first ones are adopted. */
    get directory(): Directory | undefined {
        return this.currentDirectory;
    }

    /** Milliseconds since the lists in force were adopted by this entry; infinite before the first. */
    get ageMs(): number {
        return this.options.timer.now() - this.adoptedAt;
    }

    /** Maintenance waves that operators have ordered, by number. */
    get waves(): ReadonlyMap<number, MaintenanceWave> {
        return this.knownWaves;
    }

    start(): Promise<void> {
        const { peers, timer } = this.options;
        this.isRunning = true;
        peers.on(
            versionTopic,
            (peer, body) => this.receiveAnnouncement(peer.vm, (body as VersionAnnouncement).version),
        );
        peers.on(pullTopic, (_, request) => this.encoder.encode(this.currentText, request as ListsRequest));
        this.cancels.push(timer.every(announceIntervalMs, () => this.announceToNextPeer()));
        void this.follow();
        return Promise.resolve();
    }

    stop(): Promise<void> {
        this.isRunning = false;
        this.cancels.forEach(cancel => cancel());
        return Promise.resolve();
    }

    /** Announces the version in force to one peer after the other, for peers that missed the news of it. */
    private announceToNextPeer(): void {
        const { peers } = this.options;
        const connected = peers.connected();
        if (this.currentDirectory !== undefined && connected.length > 0) {
            const peer = connected[this.announcedCount++ % connected.length]!;
            peers.notify(peer.vm, versionTopic, { version: this.currentDirectory.version });
        }
    }

    private async follow(): Promise<void> {
        const { timer, operatorTable } = this.options;
        let version: number | undefined;
        while (this.isRunning) {
            const sentAt = timer.now();
            try {
                const page = await this.readRows(version);
                version = page.version;
                this.recordFeedAnswer(sentAt);
                const update = operatorTable.decode(page.rows);
                update.waves.forEach(wave => this.recordWave(wave));
                if (page.isComplete) {
                    this.options.zones.applyAll(update.zones, page.version);
                }
                else {
                    this.options.zones.apply(update.zones);
                }
                if (update.lists !== undefined) {
                    this.adopt(update.lists, feedSource);
                }
            }
            catch (err) {
                this.recordFeedFailure(sentAt, messageOf(err));
                await sleep(timer, feedRetryDelayMs);
            }
        }
    }

    /** Reads the rows that have changed since a version; all rows without a version or when its history is lost. */
    private async readRows(
        sinceVersion: number | undefined,
    ): Promise<{
        readonly rows: readonly StoredRow[];
        readonly version: number;
        /** Whether these are all rows of the table. */
        readonly isComplete: boolean;
    }> {
        if (sinceVersion !== undefined) {
            const result = await this.reader.next(sinceVersion);
            if (result.kind === "changes") {
                return {
                    rows: result.rows,
                    version: Math.max(sinceVersion, result.version),
                    isComplete: false,
                };
            }
        }
        const page = await readAll(this.options.store, { table: this.options.operatorTable.name, part: "" });
        return { ...page, isComplete: true };
    }

    private recordFeedFailure(sentAt: number, reason: string): void {
        const { timer, log, metrics } = this.options;
        this.failedReadCount++;
        metrics.count("celerywind_lists_failed_reads_total");
        if (this.feedLostAt === undefined) {
            this.feedLostAt = sentAt;
            log.write(Severity.Warn, EventId.StoreUnavailable, {
                source: "lists",
                err: reason,
                readMs: Math.round(timer.now() - sentAt),
                ...this.readFields(),
            });
        }
    }

    /** Log fields of the read of the feed that was sent last. */
    private readFields() {
        const { firstByteMs, receivedBytes } = this.reader.progress;
        return {
            openReads: this.reader.openReadCount,
            readBytes: receivedBytes,
            ...(firstByteMs !== undefined && { firstByteMs: Math.round(firstByteMs) }),
        };
    }

    private recordFeedAnswer(sentAt: number): void {
        const { timer, log } = this.options;
        if (this.feedLostAt !== undefined) {
            log.write(Severity.Info, EventId.StoreRecovered, {
                source: "lists",
                failedReads: this.failedReadCount,
                lostMs: Math.round(timer.now() - this.feedLostAt),
                readMs: Math.round(timer.now() - sentAt),
                ...this.readFields(),
            });
            this.feedLostAt = undefined;
            this.failedReadCount = 0;
        }
    }

    private recordWave(wave: MaintenanceWave): void {
        if (!this.knownWaves.has(wave.wave)) {
            this.options.log.write(Severity.Info, EventId.WaveSeen, {
                wave: wave.wave,
                vms: wave.vms.length,
                cap: wave.cap,
                durationMs: wave.durationMs,
            });
        }
        this.knownWaves.set(wave.wave, wave);
        this.options.onChange();
    }

    private adopt(text: string, source: string): void {
        const { decode, log, timer, metrics, onChange } = this.options;
        const decodedFrom = timer.now();
        const directory = decode(text);
        const decodeMs = timer.now() - decodedFrom;
        if (directory === undefined) {
            log.write(Severity.Error, EventId.DirectoryRejected, { source });
            return;
        }
        const before = this.currentDirectory?.version ?? -1;
        if (directory.version <= before) {
            return;
        }
        this.currentDirectory = directory;
        this.currentText = text;
        this.adoptedAt = timer.now();
        log.write(Severity.Info, EventId.DirectoryAdopted, {
            version: directory.version,
            before,
            source,
            queues: directory.queues.length,
            keys: directory.keys.size,
            textBytes: text.length,
            decodeMs: Math.round(decodeMs),
            ...(source === feedSource && this.readFields()),
        });
        metrics.observe("celerywind_lists_decode_ms", decodeMs);
        this.options.peers.broadcast(versionTopic, { version: directory.version });
        onChange();
    }

    private receiveAnnouncement(peer: string, version: number): void {
        if (version > (this.currentDirectory?.version ?? -1) && !this.isPulling) {
            this.isPulling = true;
            void this.pull(peer, version);
        }
    }

    /** Whether the feed is delivering a change, with which a pull would only share this VM's link. */
    private isFeedDelivering(): boolean {
        const { arrivingMs } = this.reader;
        return arrivingMs !== undefined && arrivingMs < feedPreferenceMs;
    }

    private async pull(peer: string, version: number): Promise<void> {
        const { peers, timer, log, metrics } = this.options;
        let requestedAt: number | undefined;
        try {
            await sleep(timer, this.currentDirectory === undefined ? 0 : pullDelayMs);
            if (version <= (this.currentDirectory?.version ?? -1)) {
                return;
            }
            if (this.isFeedDelivering()) {
                metrics.count("celerywind_lists_pulls_total", { result: "skipped" });
            }
            else {
                requestedAt = timer.now();
                const request: ListsRequest = { acceptsGzip: true };
                const response = await peers.request(peer, pullTopic, request, pullTimeoutMs);
                const pullMs = Math.round(timer.now() - requestedAt);
                log.write(Severity.Info, EventId.DirectoryPulled, { peer, version, pullMs });
                metrics.count("celerywind_lists_pulls_total", { result: "answered" });
                const text = decodeListsResponse(response);
                if (text === undefined) {
                    log.write(Severity.Error, EventId.DirectoryRejected, { source: peer });
                }
                else {
                    this.adopt(text, peer);
                }
            }
        }
        catch (err) {
            log.write(Severity.Warn, EventId.DirectoryRejected, {
                peer,
                version,
                err: messageOf(err),
                ...(requestedAt !== undefined && { pullMs: Math.round(timer.now() - requestedAt) }),
                ...this.readFields(),
            });
            metrics.count("celerywind_lists_pulls_total", { result: "failed" });
        }
        finally {
            this.isPulling = false;
        }
    }
}
