/** Admission: turns what a caller sent into a checked request, or a refusal. Pure, so that it can be fuzzed. */
import { checkKey, KeyCheck } from "../version/keys.js";
import { guestTeam, mayUse, type Queue, QueueClass } from "../version/schema.js";
import type { VersionState } from "../version/state.js";
import { NotRunReason } from "./outcome.js";

/** What a caller sent, before any check. */
export interface AdmissionRequest {
    readonly queue: string;
    readonly authorization: string | undefined;
    /** Team the caller says it is, if it says so. */
    readonly claimedTeam: string | undefined;
    /** Timeout the caller asks for, as written. */
    readonly timeout: string | undefined;
    readonly expectedClass: QueueClass;
}

/** Result of admission. */
export type AdmissionResult =
    | {
        readonly kind: AdmissionResultKind.Admitted;
        readonly team: string;
        readonly queue: Queue;
        readonly timeoutMs: number;
    }
    | { readonly kind: AdmissionResultKind.Refused; readonly reason: NotRunReason; readonly keyId?: string };

/** Kinds of results of admission. */
export enum AdmissionResultKind {
    Admitted = "admitted",
    Refused = "refused",
}

/** Result of identifying a caller. */
export type AuthenticationResult =
    | { readonly kind: AdmissionResultKind.Admitted; readonly team: string }
    | { readonly kind: AdmissionResultKind.Refused; readonly reason: NotRunReason; readonly keyId?: string };

const bearerPrefix = "Bearer ";

/** Checks a call against the lists and keys in force. */
export function admit(
    state: VersionState,
    pending: ReadonlySet<string>,
    call: AdmissionRequest,
): AdmissionResult {
    if (state.revision === 0) {
        return refused(NotRunReason.NotReady);
    }
    const queue = Object.hasOwn(state.lists.queues, call.queue) ? state.lists.queues[call.queue] : undefined;
    const identified = authenticate(state, pending, call, queue?.open === true);
    if (identified.kind === AdmissionResultKind.Refused) {
        return identified;
    }
    if (queue === undefined) {
        return refused(NotRunReason.UnknownQueue);
    }
    if (!mayUse(state.lists, identified.team, call.queue)) {
        return refused(NotRunReason.WrongTeam);
    }
    if (queue.class !== call.expectedClass) {
        return refused(NotRunReason.WrongClass);
    }
    const timeoutMs = parseTimeout(call.timeout, queue);
    if (timeoutMs === undefined) {
        return refused(NotRunReason.BadRequest);
    }
    return { kind: AdmissionResultKind.Admitted, team: identified.team, queue, timeoutMs };
}

/** Finds out which team a caller belongs to. */
export function authenticate(
    state: VersionState,
    pending: ReadonlySet<string>,
    call: Pick<AdmissionRequest, "authorization" | "claimedTeam">,
    isOpen: boolean,
): AuthenticationResult {
    const { authorization, claimedTeam } = call;
    if (authorization === undefined) {
        return isOpen ? matchClaimedTeam(guestTeam, claimedTeam) : refused(NotRunReason.NoKey);
    }
    if (!authorization.startsWith(bearerPrefix)) {
        return refused(NotRunReason.BadKey);
    }
    const key = checkKey(state, pending, authorization.slice(bearerPrefix.length));
    switch (key.check) {
        case KeyCheck.Valid:
            return Object.hasOwn(state.lists.teams, key.team)
                ? matchClaimedTeam(key.team, claimedTeam)
                : refused(NotRunReason.WrongTeam);
        case KeyCheck.Malformed:
        case KeyCheck.Unknown:
        case KeyCheck.Withdrawn:
            return {
                kind: AdmissionResultKind.Refused,
                reason: NotRunReason.BadKey,
                keyId: key.id ?? "malformed",
            };
    }
}

function matchClaimedTeam(team: string, claimedTeam: string | undefined): AuthenticationResult {
    return claimedTeam === undefined || claimedTeam === team
        ? { kind: AdmissionResultKind.Admitted, team }
        : refused(NotRunReason.WrongTeam);
}

function parseTimeout(text: string | undefined, queue: Queue): number | undefined {
    if (text === undefined) {
        return queue.timeoutMs;
    }
    if (!/^[1-9][0-9]{0,6}$/.test(text)) {
        return undefined;
    }
    return Math.min(Number(text), queue.timeoutMs);
}

function refused(
    reason: NotRunReason,
): { readonly kind: AdmissionResultKind.Refused; readonly reason: NotRunReason } {
    return { kind: AdmissionResultKind.Refused, reason };
}
