import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { type AdmissionRequest, AdmissionResultKind, admit } from "../src/request/admission.js";
import { NotRunReason } from "../src/request/outcome.js";
import { createKey } from "../src/version/keys.js";
import { QueueClass } from "../src/version/schema.js";
import { applyChange, ChangeKind, initialState } from "../src/version/state.js";
import { sampleLists } from "./builders.js";

const benchesKey = createKey("benches", 0);
const thamesKey = createKey("thames", 0);
const changes = [
    { kind: ChangeKind.Lists, lists: sampleLists() },
    { kind: ChangeKind.KeyIssued, key: benchesKey.record },
    { kind: ChangeKind.KeyIssued, key: thamesKey.record },
] as const;
const state = changes.reduce(applyChange, initialState);
const noPendingWithdrawals = new Set<string>();

function requestWith(overrides: Partial<AdmissionRequest>): AdmissionRequest {
    return {
        queue: "fold-preview",
        authorization: `Bearer ${benchesKey.text}`,
        claimedTeam: undefined,
        timeout: undefined,
        expectedClass: QueueClass.Interactive,
        ...overrides,
    };
}

function refusalReason(
    overrides: Partial<AdmissionRequest>,
    pendingWithdrawals = noPendingWithdrawals,
): NotRunReason | undefined {
    const admission = admit(state, pendingWithdrawals, requestWith(overrides));
    return admission.kind === AdmissionResultKind.Refused ? admission.reason : undefined;
}

describe("admission", () => {
    test("admits a request for the team that owns the key", () => {
        expect(admit(state, noPendingWithdrawals, requestWith({}))).toMatchObject({
            kind: AdmissionResultKind.Admitted,
            team: "benches",
            timeoutMs: 2000,
        });
    });

    test("refuses requests while no lists are loaded", () => {
        expect(admit(initialState, noPendingWithdrawals, requestWith({}))).toMatchObject({
            reason: NotRunReason.NotReady,
        });
    });

    test("refuses a missing, malformed, unknown or altered key", () => {
        const altered = benchesKey.text.slice(0, -1) + (benchesKey.text.endsWith("0") ? "1" : "0");
        expect(refusalReason({ authorization: undefined })).toBe(NotRunReason.NoKey);
        expect(refusalReason({ authorization: "Basic x" })).toBe(NotRunReason.BadKey);
        expect(refusalReason({ authorization: "Bearer x" })).toBe(NotRunReason.BadKey);
        expect(refusalReason({ authorization: `Bearer ${createKey("benches", 0).text}` })).toBe(
            NotRunReason.BadKey,
        );
        expect(refusalReason({ authorization: `Bearer ${altered}` })).toBe(NotRunReason.BadKey);
    });

    test("refuses a key withdrawn by a revision, and one whose withdrawal is not stored yet", () => {
        const withdrawn = applyChange(state, { kind: ChangeKind.KeyWithdrawn, id: benchesKey.record.id });
        expect(admit(withdrawn, noPendingWithdrawals, requestWith({}))).toMatchObject({
            reason: NotRunReason.BadKey,
        });
        expect(refusalReason({}, new Set([benchesKey.record.id]))).toBe(NotRunReason.BadKey);
    });

    test("refuses a request that claims another team than the owner of the key", () => {
        expect(refusalReason({ claimedTeam: "thames" })).toBe(NotRunReason.WrongTeam);
    });

    test("refuses a queue that the team's plan does not include", () => {
        expect(refusalReason({ authorization: `Bearer ${thamesKey.text}`, queue: "bridal-order" })).toBe(
            NotRunReason.WrongTeam,
        );
    });

    test("admits requests without a key to open queues only", () => {
        expect(refusalReason({ authorization: undefined, queue: "square-price" })).toBeUndefined();
        expect(refusalReason({ authorization: undefined, queue: "fold-preview" })).toBe(NotRunReason.NoKey);
    });

    test("refuses unknown queues, names of Object.prototype properties, and queues of the wrong class", () => {
        expect(refusalReason({ queue: "nothing" })).toBe(NotRunReason.UnknownQueue);
        expect(refusalReason({ queue: "__proto__" })).toBe(NotRunReason.UnknownQueue);
        expect(refusalReason({ expectedClass: QueueClass.Deferred })).toBe(NotRunReason.WrongClass);
    });

    test("lets a request shorten the queue's timeout, but not extend it", () => {
        expect(admit(state, noPendingWithdrawals, requestWith({ timeout: "300" }))).toMatchObject({
            timeoutMs: 300,
        });
        expect(admit(state, noPendingWithdrawals, requestWith({ timeout: "999999" }))).toMatchObject({
            timeoutMs: 2000,
        });
        expect(refusalReason({ timeout: "1e3" })).toBe(NotRunReason.BadRequest);
    });

    test("never throws, and admits arbitrary input without a valid key at most as the guest team", () => {
        const optionalText = fc.option(fc.string(), { nil: undefined });
        fc.assert(
            fc.property(
                fc.string(),
                optionalText,
                optionalText,
                optionalText,
                (queue, authorization, claimedTeam, timeout) => {
                    const admission = admit(
                        state,
                        noPendingWithdrawals,
                        requestWith({ queue, authorization, claimedTeam, timeout }),
                    );
                    return admission.kind === AdmissionResultKind.Refused || admission.team === "guest";
                },
            ),
            { seed: 7, numRuns: 500 },
        );
    });
});
