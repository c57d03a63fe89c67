/** How the cost of an entry grows with entries, teams, workers and pools; the base of docs/CAPACITY.md. */
import { noticeBytes } from "../../src/connection/peer/index.js";
import { decideGrants, emptyGrantRow } from "../../src/process/grants.js";
import { Metrics } from "../../src/process/metrics.js";
import { Random } from "../../src/process/random.js";
import { assignEvenly } from "../../src/process/rendezvous.js";
import { VirtualTimer } from "../../src/process/virtual-timer.js";
import { packDigest } from "../../src/request/digest-wire.js";
import { Dispatcher } from "../../src/request/dispatch.js";
import { createKey } from "../../src/version/keys.js";
import { QueueClass } from "../../src/version/schema.js";
import {
    applyChange,
    ChangeKind,
    type ConfigurationState,
    initialState,
    serializeState,
} from "../../src/version/state.js";
import { createFleet, listsOf } from "../fleet.js";
import { type Figures, type Measure, round } from "../measure.js";

const spanMs = 10_000;
const kilo = 1024;

/** Milliseconds of processor time that `work` takes, the least of several runs. */
function cost(work: () => void, runs = 5): number {
    const times = Array.from({ length: runs }, () => {
        const before = process.cpuUsage();
        work();
        const used = process.cpuUsage(before);
        return (used.user + used.system) / 1000;
    });
    return Math.min(...times);
}

/** Heap that what `make` returns keeps alive, in bytes. */
function heapOf<T>(make: () => T): number {
    const collect = (globalThis as { gc?: () => void }).gc ?? (() => undefined);
    collect();
    const before = process.memoryUsage().heapUsed;
    const kept = make();
    collect();
    const after = process.memoryUsage().heapUsed;
    return kept === undefined ? 0 : after - before;
}

/** Peer bytes, messages and store reads a second of an idle entry, at several numbers of entries. */
async function byEntries(seed: number): Promise<Figures> {
    const queue = { name: "q", pool: "atelier", timeoutMs: 1000, meanMs: 50 };
    const figures: Record<string, number> = {};
    for (const entries of [2, 4, 8, 16, 32, 64]) {
        const teams = [{ name: "a", share: 1, limit: 200 }, { name: "b", share: 1, limit: 200 }];
        const world = await createFleet({ seed, entries, workersPerPool: 8, queues: [queue], teams });
        const sum = (pick: (entry: typeof world.entries[number]) => number): number =>
            world.entries.reduce((total, entry) => total + pick(entry), 0) / entries / (spanMs / 1000);
        const before = [sum(entry => entry.peers.sent.bytes), sum(entry => entry.platform.calls.reads)];
        await world.advance(spanMs);
        figures[`entries_${entries}_peer_bytes_per_s`] = round(
            sum(entry => entry.peers.sent.bytes) - before[0]!,
        );
        figures[`entries_${entries}_reads_per_s`] = round(
            sum(entry => entry.platform.calls.reads) - before[1]!,
        );
    }
    return figures;
}

function teamNames(count: number): readonly string[] {
    return Array.from({ length: count }, (_, at) => `team-${at}`);
}

function stateWith(teams: number): ConfigurationState {
    const queues = Array.from(
        { length: 20 },
        (_, at) => ({ name: `q-${at}`, pool: `p-${at}`, timeoutMs: 1000, meanMs: 1 }),
    );
    const lists = listsOf(queues, teamNames(teams).map(name => ({ name, share: 1, limit: 100 })));
    let state = applyChange(initialState, { kind: ChangeKind.Lists, lists });
    for (const name of teamNames(teams)) {
        state = applyChange(state, { kind: ChangeKind.KeyIssued, key: createKey(name, 0).record });
    }
    return state;
}

/** Heap of lists and keys, bytes of a snapshot, and one round of grant decisions, at several numbers of teams. */
function byTeams(): Figures {
    const figures: Record<string, number> = {};
    for (const teams of [10, 40, 120, 370]) {
        const members = Array.from(
            { length: 64 },
            (_, at) => ({ vm: `entry-${at}`, incarnation: `entry-${at}#1` }),
        );
        figures[`teams_${teams}_heap_kb`] = round(heapOf(() => stateWith(teams)) / kilo);
        figures[`teams_${teams}_snapshot_kb`] = round(
            JSON.stringify(serializeState(stateWith(teams))).length / kilo,
        );
        figures[`teams_${teams}_grant_round_ms`] = round(cost(() => {
            for (const team of teamNames(teams)) {
                decideGrants({
                    team,
                    row: emptyGrantRow,
                    self: "entry-0#1",
                    members,
                    claimsOwnBase: false,
                    limit: 200,
                    demand: 3,
                    running: 1,
                    fleetDemand: 30,
                    adoptedTaskCount: () => 0,
                    hasEnded: () => false,
                    isQuarantineOver: () => false,
                });
            }
        }));
        figures[`teams_${teams}_digest_bytes`] = noticeBytes(
            "request.digest",
            packDigest({
                teams: teamNames(teams).map((team, at) => ({
                    team,
                    pool: `p-${at % 20}`,
                    running: 3,
                    waiting: 1,
                    usedMs: 5000,
                })),
                unusedGrants: {},
                freeSlots: {},
                loadByWorker: {},
            }),
        );
    }
    return figures;
}

function dispatcherWith(workers: number, pools: number): Dispatcher {
    const dispatcher = Dispatcher.create({
        timer: VirtualTimer.create(),
        random: Random.create(1),
        metrics: Metrics.create(),
        view: {
            usableGrants: () => 1e6,
            limit: () => 1e6,
            share: () => 1,
            closedReason: () => undefined,
            mayStart: () => true,
        },
    });
    dispatcher.setPools(Array.from({ length: pools }, (_, pool) => ({
        pool: `p-${pool}`,
        maxEjected: 1,
        workers: Array.from({ length: workers / pools }, (_, at) => ({
            vm: `w-${pool}-${at}`,
            origin: `http://10.0.${pool}.${at}`,
            rack: "r",
            zone: "z",
            isOpen: true,
            isHome: at % 8 === 0,
        })),
    })));
    return dispatcher;
}

/** Heap of the routing tables, one slot given out, and one round of dealing out homes, at several numbers of workers. */
async function byWorkers(): Promise<Figures> {
    const figures: Record<string, number> = {};
    for (const workers of [40, 200, 1000, 2500]) {
        const pools = Math.max(5, Math.round(workers / 190));
        const rounded = workers - workers % pools;
        figures[`workers_${workers}_heap_kb`] = round(heapOf(() => dispatcherWith(rounded, pools)) / kilo);
        const dispatcher = dispatcherWith(rounded, pools);
        const before = process.cpuUsage();
        for (let call = 0; call < 200; call++) {
            await dispatcher.acquire({
                pool: "p-0",
                team: "a",
                queue: "q",
                class: QueueClass.Interactive,
                deadline: 1e9,
                exclude: [],
            }).then(acquired => "slot" in acquired && dispatcher.release(acquired.slot, "good" as never));
        }
        const used = process.cpuUsage(before);
        figures[`workers_${workers}_slot_us`] = round((used.user + used.system) / 200);
        const vms = Array.from({ length: rounded / pools }, (_, at) => `w-${at}`);
        const entries = Array.from({ length: 64 }, (_, at) => `entry-${at}`);
        figures[`workers_${workers}_homes_ms`] = round(cost(() => assignEvenly(vms, entries)) * pools);
    }
    return figures;
}

/** Measures the slopes. */
export const slopes: Measure = {
    name: "slopes",
    isVirtual: false,
    run: async ({ seed }) => ({ ...await byEntries(seed), ...byTeams(), ...await byWorkers() }),
};
