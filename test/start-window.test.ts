import { describe, expect, test } from "vitest";
import { StartWindow } from "../src/pool/scheduling/start-window.js";

/** Time limit of a start request, in milliseconds. */
const timeoutMs = 200;

/**
 * Sends requests for as long as there is room, to an owner that needs `costMs` of its time for each, and reads the answers in
 * turn. `isSilent` tells which requests are not answered. Returns the requests in flight at the end of each turn, and how many of
 * the others took longer than the time limit.
 */
function play(
    window: StartWindow,
    { turns, costMs, isSilent = () => false }: {
        turns: number;
        costMs: number;
        isSilent?: (request: number) => boolean;
    },
) {
    const inFlight: number[] = [];
    let late = 0;
    for (let turn = 0; turn < turns; turn++) {
        let sent = 0;
        while (window.hasRoom) {
            window.recordSent();
            sent += 1;
        }
        for (let request = 1; request <= sent; request++) {
            const ms = isSilent(request) ? timeoutMs : request * costMs;
            late += !isSilent(request) && ms > timeoutMs ? 1 : 0;
            window.recordEnded({ ms, isAnswered: ms < timeoutMs });
        }
        inFlight.push(sent);
    }
    return { inFlight, late };
}

describe("the window for starts", () => {
    test("shrinks until an owner short of processor time has its starts answered within their time limit", () => {
        const window = StartWindow.create();
        play(window, { turns: 10, costMs: 8 });
        expect(play(window, { turns: 20, costMs: 8 }).late).toBe(0);
    });

    test("grows while starts are answered at once, so that a slow store's large batches go out", () => {
        const { inFlight } = play(StartWindow.create(), { turns: 10, costMs: 0.1 });
        expect(inFlight.at(-1)).toBeGreaterThanOrEqual(160);
    });

    test("does not shrink for a fifth of the workers that do not answer", () => {
        const { inFlight } = play(StartWindow.create(), {
            turns: 10,
            costMs: 0.1,
            isSilent: request => request % 5 === 0,
        });
        expect(Math.min(...inFlight)).toBeGreaterThanOrEqual(64);
    });

    test("does not shrink while half of the workers do not answer", () => {
        const { inFlight } = play(StartWindow.create(), {
            turns: 10,
            costMs: 0.1,
            isSilent: request => request % 2 === 0,
        });
        expect(Math.min(...inFlight)).toBeGreaterThanOrEqual(64);
    });

    test("shrinks although the few answers that an overloaded owner reads in time are all that it gets", () => {
        const window = StartWindow.create();
        play(window, { turns: 20, costMs: 8, isSilent: request => request > 25 });
        expect(window.hasRoom).toBe(true);
        expect(play(window, { turns: 1, costMs: 8 }).inFlight[0]).toBeLessThanOrEqual(25);
    });

    test("opens again once the owner has its processor time back", () => {
        const window = StartWindow.create();
        play(window, { turns: 20, costMs: 20 });
        expect(play(window, { turns: 20, costMs: 0.1 }).inFlight.at(-1)).toBeGreaterThanOrEqual(64);
    });

    test("never closes", () => {
        const { inFlight } = play(StartWindow.create(), { turns: 50, costMs: 1000 });
        expect(Math.min(...inFlight)).toBeGreaterThan(0);
    });
});
