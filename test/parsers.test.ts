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

/** Passes when the work returns or throws an error that names a remedy. */
function throwsOnly(errorClass: typeof ConfigError, parse: () => unknown): boolean {
    try {
        parse();
        return true;
    }
    catch (err) {
        return err instanceof errorClass;
    }
}

describe("whatever bytes arrive", () => {
    test("settings are accepted or refused with a message", () => {
        fc.assert(
            fc.property(jsonLikeText, text => throwsOnly(ConfigError, () => parseSettings("s.jsonc", text))),
            options,
        );
    });

    test("lists are accepted or refused with a message", () => {
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

    test("a peer frame is decoded to a checked frame or to nothing", () => {
        fc.assert(
            fc.property(fc.uint8Array({ maxLength: 200 }), bytes => {
                const frame = decodeFrame(Buffer.from(bytes));
                return frame === undefined || frame.kind in FrameKind;
            }),
            options,
        );
    });

    test("a frame that was cut or altered is decoded to a checked frame or to nothing", () => {
        const encoded = encodeFrame({ kind: FrameKind.Ask, id: 7, topic: "echo", body: { a: [1, "x"] } });
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

    test("a digest is unpacked to known names or to nothing", () => {
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

test("a digest survives the way over a link", () => {
    const digest: LoadDigest = {
        teams: [
            { team: "a", pool: "p", running: 3, waiting: 0, usedMs: 1200 },
            { team: "b", pool: "q", running: 0, waiting: 9, usedMs: 0 },
        ],
        unusedGrants: { a: 2, c: 1 },
        freeSlots: { q: 8, r: 1 },
        loadByWorker: { "w-1": 2 },
    };
    const frame = decodeFrame(encodeFrame({ kind: FrameKind.Notice, topic: "d", body: packDigest(digest) }));
    expect(frame?.kind === FrameKind.Notice && unpackDigest(frame.body)).toEqual(digest);
});
