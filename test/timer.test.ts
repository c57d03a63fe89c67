import { afterEach, beforeEach, describe, expect, test, vi } from "vitest";
import { SystemTimer } from "../src/process/timer.js";

const longMs = 2 ** 31 + 1000;

describe("a delay beyond the limit of Node's timers", () => {
    const timer = SystemTimer.create();

    beforeEach(() => {
        vi.useFakeTimers();
    });

    afterEach(() => {
        vi.useRealTimers();
    });

    test("ends when it is over, instead of at once", () => {
        const fn = vi.fn();
        timer.after(longMs, fn);
        vi.advanceTimersByTime(longMs - 1);
        expect(fn).not.toHaveBeenCalled();
        vi.advanceTimersByTime(1);
        expect(fn).toHaveBeenCalledTimes(1);
    });

    test("of a period is kept, instead of calling back without a pause", () => {
        const maxCalls = 10;
        const fn = vi.fn(() => {
            if (fn.mock.calls.length >= maxCalls) {
                cancel();
            }
        });
        const cancel = timer.every(longMs, fn);
        vi.advanceTimersByTime(3 * longMs);
        expect(fn).toHaveBeenCalledTimes(3);
        cancel();
        vi.advanceTimersByTime(longMs);
        expect(fn).toHaveBeenCalledTimes(3);
    });

    test.each([1e308, Infinity])("of %d ms can be cancelled in each of its parts", ms => {
        const fn = vi.fn();
        const cancel = timer.after(ms, fn);
        vi.advanceTimersByTime(longMs);
        cancel();
        expect(fn).not.toHaveBeenCalled();
        expect(vi.getTimerCount()).toBe(0);
    });
});
