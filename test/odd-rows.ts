/** Rows of workers as another writer may write them. */
import { RowFault } from "../src/process/row-refusals.js";

/** A text of JSON that nests arrays `levels` deep. */
export function deepJson(levels: number): string {
    return "[".repeat(levels) + "]".repeat(levels);
}

const soundRow = {
    service: "bench",
    address: "127.0.0.1:7000",
    zone: "z",
    version: "v1",
    slots: 8,
    state: "ready",
    "cold-left-ms": 0,
    capacity: { cpu: 32_000, "mem-mb": 128_000, gpu: 0 },
    labels: ["a", "rack-0"],
    sequence: 1,
    born: Date.UTC(2026, 0, 1),
};

/** The row of a sound worker, with the given fields replaced. */
export function workerRowOf(fields: Readonly<Record<string, unknown>> = {}): string {
    return JSON.stringify({ ...soundRow, ...fields });
}

/** The row of a sound worker with a field of the given JSON text, which need not be what `JSON.stringify` writes. */
function withField(field: string, json: string): string {
    return workerRowOf({ [field]: "@" }).replace('"@"', json);
}

const deepLevels = 20_000;

/** Odd rows, one of each kind, with the reason for which they are refused. */
export const oddWorkerRows: readonly {
    readonly kind: string;
    readonly text: string;
    readonly fault: RowFault;
}[] = [
    { kind: "empty", text: "", fault: RowFault.NotJson },
    { kind: "cut off", text: workerRowOf().slice(0, -1), fault: RowFault.NotJson },
    { kind: "bytes", text: "\u0000\ufffd\ufffd", fault: RowFault.NotJson },
    { kind: "no object", text: "7", fault: RowFault.WrongType },
    { kind: "null", text: "null", fault: RowFault.WrongType },
    { kind: "too long", text: workerRowOf({ zone: "z".repeat(100_000) }), fault: RowFault.TooLong },
    { kind: "nested as a whole", text: deepJson(deepLevels), fault: RowFault.WrongType },
    {
        kind: "nested in the labels",
        text: withField("labels", deepJson(deepLevels)),
        fault: RowFault.WrongType,
    },
    {
        kind: "nested in the capacity",
        text: withField("capacity", deepJson(deepLevels)),
        fault: RowFault.WrongType,
    },
    {
        kind: "nested in the address",
        text: withField("address", deepJson(deepLevels)),
        fault: RowFault.WrongType,
    },
    { kind: "without a capacity", text: withField("capacity", "null"), fault: RowFault.WrongType },
    { kind: "prototype only", text: `{"__proto__":${workerRowOf()}}`, fault: RowFault.WrongType },
    { kind: "unknown state", text: workerRowOf({ state: "asleep" }), fault: RowFault.WrongType },
    { kind: "service of another type", text: workerRowOf({ service: 7 }), fault: RowFault.WrongType },
    {
        kind: "port out of range",
        text: workerRowOf({ address: "127.0.0.1:99999" }),
        fault: RowFault.Malformed,
    },
    { kind: "port 0", text: workerRowOf({ address: "127.0.0.1:0" }), fault: RowFault.Malformed },
    { kind: "no host", text: workerRowOf({ address: ":-1" }), fault: RowFault.Malformed },
    { kind: "colons only", text: workerRowOf({ address: "::::" }), fault: RowFault.Malformed },
    { kind: "space in the host", text: workerRowOf({ address: "a b:3" }), fault: RowFault.Malformed },
    { kind: "empty address", text: workerRowOf({ address: "" }), fault: RowFault.Malformed },
    { kind: "overly long zone", text: workerRowOf({ zone: "z".repeat(1000) }), fault: RowFault.OutOfRange },
    { kind: "capacity of 1e308", text: withField("capacity", '{"cpu":1e308}'), fault: RowFault.OutOfRange },
    { kind: "capacity of 1e21", text: withField("capacity", '{"mem-mb":1e21}'), fault: RowFault.OutOfRange },
    { kind: "capacity of 1e400", text: withField("capacity", '{"cpu":1e400}'), fault: RowFault.WrongType },
    { kind: "negative capacity", text: withField("capacity", '{"cpu":-5}'), fault: RowFault.OutOfRange },
    { kind: "sequence of 1e308", text: withField("sequence", "1e308"), fault: RowFault.OutOfRange },
    { kind: "negative sequence", text: workerRowOf({ sequence: -1 }), fault: RowFault.OutOfRange },
    { kind: "born in the future", text: workerRowOf({ born: 9e15 }), fault: RowFault.OutOfRange },
    { kind: "fractional birth", text: workerRowOf({ born: 1.5 }), fault: RowFault.WrongType },
];
