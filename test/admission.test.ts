import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { AdmissionKind, admit, type Call } from "../src/request/admission.js";
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
const none = new Set<string>();

function call(differences: Partial<Call>): Call {
    return {
        queue: "fold-preview",
        authorization: `Bearer ${benchesKey.text}`,
        claimedTeam: undefined,
        timeout: undefined,
        wants: QueueClass.Interactive,
        ...differences,
    };
}

function reasonOf(differences: Partial<Call>, pending = none): NotRunReason | undefined {
    const admission = admit(state, pending, call(differences));
    return admission.kind === AdmissionKind.Refused ? admission.reason : undefined;
}

describe("admission", () => {
    test("takes work for the team of the key", () => {
        expect(admit(state, none, call({}))).toMatchObject({
            kind: AdmissionKind.Admitted,
            team: "benches",
            timeoutMs: 2000,
        });
    });

    test("refuses without lists", () => {
        expect(admit(initialState, none, call({}))).toMatchObject({ reason: NotRunReason.NotReady });
    });

    test("refuses a missing, malformed, unknown or altered key", () => {
        const altered = benchesKey.text.slice(0, -1) + (benchesKey.text.endsWith("0") ? "1" : "0");
        expect(reasonOf({ authorization: undefined })).toBe(NotRunReason.NoKey);
        expect(reasonOf({ authorization: "Basic x" })).toBe(NotRunReason.BadKey);
        expect(reasonOf({ authorization: "Bearer x" })).toBe(NotRunReason.BadKey);
        expect(reasonOf({ authorization: `Bearer ${createKey("benches", 0).text}` })).toBe(
            NotRunReason.BadKey,
        );
        expect(reasonOf({ authorization: `Bearer ${altered}` })).toBe(NotRunReason.BadKey);
    });

    test("refuses a key withdrawn in a revision, and one whose withdrawal is not stored yet", () => {
        const withdrawn = applyChange(state, { kind: ChangeKind.KeyWithdrawn, id: benchesKey.record.id });
        expect(admit(withdrawn, none, call({}))).toMatchObject({ reason: NotRunReason.BadKey });
        expect(reasonOf({}, new Set([benchesKey.record.id]))).toBe(NotRunReason.BadKey);
    });

    test("refuses work claimed for another team", () => {
        expect(reasonOf({ claimedTeam: "thames" })).toBe(NotRunReason.WrongTeam);
    });

    test("refuses a queue that the plan does not name", () => {
        expect(reasonOf({ authorization: `Bearer ${thamesKey.text}`, queue: "bridal-order" })).toBe(
            NotRunReason.WrongTeam,
        );
    });

    test("lets guests use only open queues", () => {
        expect(reasonOf({ authorization: undefined, queue: "square-price" })).toBeUndefined();
        expect(reasonOf({ authorization: undefined, queue: "fold-preview" })).toBe(NotRunReason.NoKey);
    });

    test("refuses unknown queues, names from the prototype, and the wrong class", () => {
        expect(reasonOf({ queue: "nothing" })).toBe(NotRunReason.UnknownQueue);
        expect(reasonOf({ queue: "__proto__" })).toBe(NotRunReason.UnknownQueue);
        expect(reasonOf({ wants: QueueClass.Deferred })).toBe(NotRunReason.WrongClass);
    });

    test("shortens a timeout on request and never lengthens it", () => {
        expect(admit(state, none, call({ timeout: "300" }))).toMatchObject({ timeoutMs: 300 });
        expect(admit(state, none, call({ timeout: "999999" }))).toMatchObject({ timeoutMs: 2000 });
        expect(reasonOf({ timeout: "1e3" })).toBe(NotRunReason.BadRequest);
    });

    test("never throws and never admits a stranger, whatever is sent", () => {
        const text = fc.option(fc.string(), { nil: undefined });
        fc.assert(
            fc.property(fc.string(), text, text, text, (queue, authorization, claimedTeam, timeout) => {
                const admission = admit(state, none, call({ queue, authorization, claimedTeam, timeout }));
                return admission.kind === AdmissionKind.Refused || admission.team === "guest";
            }),
            { seed: 7, numRuns: 500 },
        );
    });
});
