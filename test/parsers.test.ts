import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { decodeFrame, encodeFrame, FrameKind } from "../src/connection/peer/message.js";
import { ConfigError } from "../src/process/errors.js";
import { parseSettings } from "../src/process/settings.js";
import { packDigest, unpackDigest } from "../src/request/digest-wire.js";
import type { LoadDigest } from "../src/request/load.js";
import { parseLists } from "../src/version/schema.js";

const options = { seed: 13, numRuns: 400 };
const jsonLikeText = fc.oneof(
    fc.string(),
    fc.json(),
    fc.json().map(text => text.slice(0, -1)),
    fc.json().map(text => `${text} // x`),
);

/** Whether `parse` returns or throws an error of the given class; any other error is a fault of the parser. */
function throwsOnly(errorClass: typeof ConfigError, parse: () => unknown): boolean {
    try {
        parse();
        return true;
    }
    catch (err) {
        return err instanceof errorClass;
    }
}

describe("parsers of untrusted input", () => {
    test("settings are parsed or rejected with a ConfigError", () => {
        fc.assert(
            fc.property(jsonLikeText, text => throwsOnly(ConfigError, () => parseSettings("s.jsonc", text))),
            options,
        );
    });

    test("lists are parsed or rejected with a ConfigError", () => {
        fc.assert(
            fc.property(
                jsonLikeText,
                jsonLikeText,
                (plans, teams) =>
                    throwsOnly(
                        ConfigError,
                        () => parseLists({ file: "p", text: plans }, { file: "t", text: teams }),
                    ),
            ),
            options,
        );
    });

    test("random bytes decode to a validated frame or to undefined", () => {
        fc.assert(
            fc.property(fc.uint8Array({ maxLength: 200 }), bytes => {
                const frame = decodeFrame(Buffer.from(bytes));
                return frame === undefined || frame.kind in FrameKind;
            }),
            options,
        );
    });

    test("a truncated or altered frame decodes to a validated frame or to undefined", () => {
        const encoded = encodeFrame({ kind: FrameKind.Request, id: 7, topic: "echo", body: { a: [1, "x"] } });
        fc.assert(
            fc.property(
                fc.nat(encoded.length - 1),
                fc.nat(255),
                fc.boolean(),
                (position, byte, isTruncated) => {
                    const altered = Buffer.from(encoded);
                    altered[position] = byte;
                    const frame = decodeFrame(isTruncated ? altered.subarray(0, position) : altered);
                    return frame === undefined || frame.kind in FrameKind;
                },
            ),
            options,
        );
    });

    test("any value unpacks to a validated digest or to undefined", () => {
        fc.assert(
            fc.property(fc.anything(), body => {
                const digest = unpackDigest(body);
                return digest === undefined || digest.teams.every(load => typeof load.team === "string");
            }),
            options,
        );
        const wire = { teams: ["a"], pools: ["p"], loads: [1, 0, 1, 1, 1], spare: [], free: [], workers: {} };
        expect(unpackDigest(wire)).toBeUndefined();
    });
});

test("a digest is unchanged after it was encoded and decoded", () => {
    const digest: LoadDigest = {
        teams: [
            { team: "a", pool: "p", running: 3, waiting: 0, usedMs: 1200 },
            { team: "b", pool: "q", running: 0, waiting: 9, usedMs: 0 },
        ],
        unusedGrants: { a: 2, c: 1 },
        freeSlots: { q: 8, r: 1 },
        loadByWorker: { "w-1": 2 },
    };
    const frame = decodeFrame(
        encodeFrame({ kind: FrameKind.Notification, topic: "d", body: packDigest(digest) }),
    );
    expect(frame?.kind === FrameKind.Notification && unpackDigest(frame.body)).toEqual(digest);
});
