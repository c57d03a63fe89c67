/** Admission: turns what a caller sent into a checked request, or a refusal. Pure, so that it can be fuzzed. */
import { checkKey, KeyCheck } from "../version/keys.js";
import { guestTeamName, isQueueAllowed, type Queue, QueueClass } from "../version/schema.js";
import type { ConfigurationState } from "../version/state.js";
import { NotRunReason } from "./outcome.js";

/** What a caller sent, before any check. */
export interface Call {
    readonly queue: string;
    readonly authorization: string | undefined;
    /** Team the caller says it is, if it says so. */
    readonly claimedTeam: string | undefined;
    /** Timeout the caller asks for, as written. */
    readonly timeout: string | undefined;
    readonly wants: QueueClass;
}

/** Result of admission. */
export type Admission =
    | {
        readonly kind: AdmissionKind.Admitted;
        readonly team: string;
        readonly queue: Queue;
        readonly timeoutMs: number;
    }
    | { readonly kind: AdmissionKind.Refused; readonly reason: NotRunReason; readonly keyId?: string };

/** Kinds of results of admission. */
export enum AdmissionKind {
    Admitted = "admitted",
    Refused = "refused",
}

/** Result of identifying a caller. */
export type Identified =
    | { readonly kind: AdmissionKind.Admitted; readonly team: string }
    | { readonly kind: AdmissionKind.Refused; readonly reason: NotRunReason; readonly keyId?: string };

const bearer = "Bearer ";

/** Checks a call against the lists and keys in force. */
export function admit(state: ConfigurationState, pending: ReadonlySet<string>, call: Call): Admission {
    if (state.revision === 0) {
        return refused(NotRunReason.NotReady);
    }
    const queue = Object.hasOwn(state.lists.queues, call.queue) ? state.lists.queues[call.queue] : undefined;
    const identified = identify(state, pending, call, queue?.open === true);
    if (identified.kind === AdmissionKind.Refused) {
        return identified;
    }
    if (queue === undefined) {
        return refused(NotRunReason.UnknownQueue);
    }
    if (!isQueueAllowed(state.lists, identified.team, call.queue)) {
        return refused(NotRunReason.WrongTeam);
    }
    if (queue.class !== call.wants) {
        return refused(NotRunReason.WrongClass);
    }
    const timeoutMs = readTimeout(call.timeout, queue);
    if (timeoutMs === undefined) {
        return refused(NotRunReason.BadRequest);
    }
    return { kind: AdmissionKind.Admitted, team: identified.team, queue, timeoutMs };
}

/** Finds out which team a caller belongs to. */
export function identify(
    state: ConfigurationState,
    pending: ReadonlySet<string>,
    call: Pick<Call, "authorization" | "claimedTeam">,
    isOpen: boolean,
): Identified {
    const { authorization, claimedTeam } = call;
    if (authorization === undefined) {
        return isOpen ? claimed(guestTeamName, claimedTeam) : refused(NotRunReason.NoKey);
    }
    if (!authorization.startsWith(bearer)) {
        return refused(NotRunReason.BadKey);
    }
    const key = checkKey(state, pending, authorization.slice(bearer.length));
    switch (key.check) {
        case KeyCheck.Valid:
            return Object.hasOwn(state.lists.teams, key.team)
                ? claimed(key.team, claimedTeam)
                : refused(NotRunReason.WrongTeam);
        case KeyCheck.Malformed:
        case KeyCheck.Unknown:
        case KeyCheck.Withdrawn:
            return { kind: AdmissionKind.Refused, reason: NotRunReason.BadKey, keyId: key.id ?? "malformed" };
    }
}

function claimed(team: string, claimedTeam: string | undefined): Identified {
    return claimedTeam === undefined || claimedTeam === team
        ? { kind: AdmissionKind.Admitted, team }
        : refused(NotRunReason.WrongTeam);
}

function readTimeout(text: string | undefined, queue: Queue): number | undefined {
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
): { readonly kind: AdmissionKind.Refused; readonly reason: NotRunReason } {
    return { kind: AdmissionKind.Refused, reason };
}
