import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { decodeManifest } from "../platform/lists.js";
import { createOperatorTable } from "../platform/store.js";
import {
    adviceResponse,
    commandResponse,
    holdResponse,
    submission,
    vmPage,
    workerRow,
} from "../platform/wire.js";
import {
    decodeJob,
    decodePhase,
    decodeState,
    encodeJob,
    encodeState,
    initialState,
} from "../src/job/index.js";
import { FleetHandover } from "../src/pool/fleet-handover.js";
import { decodeLeaseBounds } from "../src/pool/lease-bounds.js";
import { decodeMember, decodePeerMembers } from "../src/pool/member-rows.js";
import { decodeChain, decodeOwner } from "../src/pool/ownership.js";
import { RunTimeDistributions } from "../src/pool/scheduling/run-time-distributions.js";
import { WorkerVerdicts } from "../src/pool/scheduling/worker-verdicts.js";
import { WaveTracker } from "../src/pool/wave-tracker.js";
import { maxAmount } from "../src/process/bounds.js";
import { ConfigError } from "../src/process/errors.js";
import { parseJson } from "../src/process/json.js";
import { silentLog } from "../src/process/log.js";
import { Metrics } from "../src/process/metrics.js";
import { decodeText, RowRefusals } from "../src/process/row-refusals.js";
import type { StoredRow } from "../src/process/rows.js";
import { decodeSiteLists, parseSiteLists } from "../src/version/site-lists.js";
import { jobOf } from "../standin/site/site.js";
import { deepJson, workerRowOf } from "./odd-rows.js";

const options = { seed: 7, numRuns: 300 };
const refusals = RowRefusals.create({ log: silentLog, metrics: Metrics.create() });
const row = (value: string, key = "k"): StoredRow => ({
    table: "t",
    part: "",
    key,
    value,
    version: 1,
    isRemoved: false,
});
const job = {
    id: "j",
    queue: "q",
    team: "t",
    acceptedAtMs: 5,
    spec: {
        ...jobOf({ tasks: 2 }, { tasks: 1, after: [0] }),
        schedule: { count: 3, firstAtMs: 1, intervalMs: 5 },
    },
};
const demand = [5, 1000, 100, 0];
const operatorTable = createOperatorTable(refusals);

/** A sound text of each kind, and what decodes it. */
const decoders: Readonly<Record<string, readonly [string, (text: string) => unknown]>> = {
    worker: [workerRowOf(), text => decodeText(workerRow, text)],
    job: [encodeJob(job), text => {
        const decoded = decodeJob("j", text);
        return decoded.kind === "valid" && initialState(decoded.value);
    }],
    progress: [encodeState(initialState(job)), text => decodeState(job, text)],
    phase: [encodeState(initialState(job)), decodePhase],
    member: [
        JSON.stringify({ incarnation: "e#1", url: "ws://e:1", strength: 2, zone: "z" }),
        text => decodeMember(row(text), refusals),
    ],
    owner: [JSON.stringify({ entry: "e", incarnation: "e#1", fence: 3 }), text => decodeOwner(row(text))],
    chain: [JSON.stringify({ incarnation: "e#1", batch: 3 }), text => decodeChain(row(text))],
    leases: [
        JSON.stringify({ fence: 3, owners: [["e", "e#1", 2, 100]], workers: [["w", 5, 100]] }),
        text => decodeLeaseBounds(row(text)),
    ],
    wave: [
        JSON.stringify({ wave: 1, machines: ["m"], "duration-s": 5, cap: 1 }),
        text => operatorTable.decode([row(text, "wave/1")]),
    ],
    zone: ["{}", text => operatorTable.decode([row(text, "evacuate/z")])],
    waveProgress: [JSON.stringify({ done: ["m"], firstSeenMs: 5 }), text => {
        const tracker = WaveTracker.create("main", 100);
        tracker.addOrders([{ wave: 1, vms: ["m", "n"], durationMs: 5000, cap: 1 }], 0);
        tracker.restore([row(text, "1")], { now: 10, wallMs: 20 });
        return tracker.openWaves(20, new Set());
    }],
    manifest: [
        JSON.stringify({
            version: 1,
            routes: [{ name: "r", host: "h", "path-prefix": "/", service: "s", advice: { "decide-ms": 1 } }],
            services: [{ name: "s", headroom: true }],
            tenants: [{ name: "t", "api-keys": ["k"], weight: 1, cap: { cpu: 1 } }],
        }),
        decodeManifest,
    ],
    siteLists: [
        JSON.stringify({ version: 1, queues: [{ name: "q", pool: "p" }], pools: [{ name: "p" }] }),
        decodeSiteLists,
    ],
    handover: [
        JSON.stringify({ samples: { p: [demand] }, orders: [["m", "p", "moving", 500]], cordoned: ["m"] }),
        text => FleetHandover.create().restore(text, 1),
    ],
    runTimes: [
        '[["q",{"runs":9,"ratios":[1,2]},null]]',
        text => {
            const found = RunTimeDistributions.create();
            found.restore(text);
            return found.encode();
        },
    ],
    verdicts: [
        JSON.stringify([["w", "p", 5, 0.5, 0.5, 1, 100, "ejected"]]),
        text => WorkerVerdicts.create(() => 0).restore(text, 1),
    ],
    hold: [
        JSON.stringify({
            "clock-ms": 5,
            born: 5,
            running: [["t", 1, "", 50, 7]],
            ended: [[1, "t", 1, "done", ""]],
        }),
        text => decodeText(holdResponse, text),
    ],
    command: [JSON.stringify({ "clock-ms": 5, reason: "old" }), text => decodeText(commandResponse, text)],
    advice: [JSON.stringify({ good: [["w", "t"]], "valid-ms": 5 }), text => decodeText(adviceResponse, text)],
    inventory: [
        JSON.stringify({
            machines: [{ machine: "m", pool: "p", state: "up", labels: ["a"] }],
            "next-token": "",
        }),
        text => decodeText(vmPage, text),
    ],
    submission: [
        JSON.stringify({ spec: "s", steps: [{ count: 1, cpu: 5, after: [] }], times: 1, "first-ms": 5 }),
        text => decodeText(submission, text),
    ],
    peerMembers: [
        JSON.stringify([["e", { incarnation: "e#1", url: "ws://e:1" }]]),
        text => decodePeerMembers(parseJson(text)),
    ],
};

const oddValue = fc.oneof(
    fc.constantFrom(
        "1e308",
        "-1e308",
        "1e400",
        "1e21",
        "-5",
        "0.5",
        "-0",
        "9007199254740991",
        '""',
        "null",
        "true",
        "[]",
        "{}",
        '{"__proto__":{"a":1},"constructor":1}',
        JSON.stringify("x".repeat(70_000)),
        JSON.stringify("\u0000\ud800"),
        deepJson(9000),
    ),
    fc.json(),
);

/** Text in which one of the values of a sound one is replaced; the whole of it, too. */
function oddTextOf(sound: string): fc.Arbitrary<string> {
    const values = [...sound.matchAll(/(?<=[:[,])("[^"]*"|[\d.]+|true|false|null)|(?<=:)(\{\}|\[\])/g)];
    const replaced = fc.tuple(fc.nat(Math.max(0, values.length - 1)), oddValue).map(([at, value]) => {
        const match = values[at];
        return match === undefined
            ? value
            : sound.slice(0, match.index) + value + sound.slice(match.index + match[0].length);
    });
    return fc.oneof(
        { weight: 4, arbitrary: replaced },
        oddValue,
        fc.string(),
        fc.nat(sound.length).map(n => sound.slice(0, n)),
    );
}

describe("an odd text", () => {
    test.each(Object.entries(decoders))(
        "of kind %s is decoded or refused without an error",
        (_, [sound, decode]) => {
            decode(sound);
            fc.assert(fc.property(oddTextOf(sound), text => void decode(text)), options);
        },
    );

    test("leaves no number in the capacity of a worker or the needs of a job that sums cannot hold", () => {
        const isSound = (amount: number): boolean => amount >= 0 && amount <= maxAmount;
        fc.assert(
            fc.property(oddTextOf(workerRowOf()), oddTextOf(encodeJob(job)), (worker, accepted) => {
                const listed = decodeText(workerRow, worker);
                const decoded = decodeJob("j", accepted);
                const amounts = [
                    ...listed.kind === "valid" ? Object.values(listed.value.capacity) : [],
                    ...decoded.kind === "valid"
                        ? decoded.value.spec.steps.flatMap(({ needs }) => Object.values(needs) as number[])
                        : [],
                ];
                expect(amounts.filter(amount => !isSound(amount))).toEqual([]);
            }),
            options,
        );
    });

    test.each([5000, 300_000])("of lists that nests %d levels is rejected with a ConfigError", levels => {
        for (const text of [deepJson(levels), `{"version":${deepJson(levels)}}`]) {
            expect(() => parseSiteLists("lists", text)).toThrow(ConfigError);
        }
    });
});
