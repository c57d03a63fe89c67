/**
 * Admission control: validates a caller's request and admits or refuses it. Free of side effects, so that it can be
 * fuzzed.
 */
import { checkKey, KeyCheck } from "../version/keys.js";
import { guestTeamName, isQueueAllowed, type Queue, QueueClass } from "../version/schema.js";
import type { ConfigurationState } from "../version/state.js";
import { NotRunReason } from "./outcome.js";

/** A caller's request before validation. */
export interface AdmissionRequest {
    readonly queue: string;
    readonly authorization: string | undefined;
    /** Team that the caller claims to belong to; undefined when it claims none. */
    readonly claimedTeam: string | undefined;
    /** Requested timeout in milliseconds, unparsed; undefined for the queue's default. */
    readonly timeout: string | undefined;
    /** Queue class that the called interface serves. */
    readonly expectedClass: QueueClass;
}

/** Result of `admit`; `keyId` is set when `checkKey` rejected the key. */
export type AdmissionResult =
    | {
        readonly kind: AdmissionResultKind.Admitted;
        readonly team: string;
        readonly queue: Queue;
        readonly timeoutMs: number;
    }
    | { readonly kind: AdmissionResultKind.Refused; readonly reason: NotRunReason; readonly keyId?: string };

export enum AdmissionResultKind {
    Admitted = "admitted",
    Refused = "refused",
}

/** Result of `authenticate`; `keyId` is set when `checkKey` rejected the key. */
export type AuthenticationResult =
    | { readonly kind: AdmissionResultKind.Admitted; readonly team: string }
    | { readonly kind: AdmissionResultKind.Refused; readonly reason: NotRunReason; readonly keyId?: string };

const bearerPrefix = "Bearer ";

/** Checks a request against the lists and keys in force. */
export function admit(
    state: ConfigurationState,
    pendingWithdrawals: ReadonlySet<string>,
    request: AdmissionRequest,
): AdmissionResult {
    if (state.revision === 0) {
        return refused(NotRunReason.NotReady);
    }
    const queue = Object.hasOwn(state.lists.queues, request.queue)
        ? state.lists.queues[request.queue]
        : undefined;
    const authenticated = authenticate(state, pendingWithdrawals, request, queue?.open === true);
    if (authenticated.kind === AdmissionResultKind.Refused) {
        return authenticated;
    }
    if (queue === undefined) {
        return refused(NotRunReason.UnknownQueue);
    }
    if (!isQueueAllowed(state.lists, authenticated.team, request.queue)) {
        return refused(NotRunReason.WrongTeam);
    }
    if (queue.class !== request.expectedClass) {
        return refused(NotRunReason.WrongClass);
    }
    const timeoutMs = parseTimeout(request.timeout, queue);
    if (timeoutMs === undefined) {
        return refused(NotRunReason.BadRequest);
    }
    return { kind: AdmissionResultKind.Admitted, team: authenticated.team, queue, timeoutMs };
}

/**
 * Authenticates a caller by its key and returns its team. On an open queue, a caller without a key is admitted as the
 * guest team.
 */
export function authenticate(
    state: ConfigurationState,
    pendingWithdrawals: ReadonlySet<string>,
    request: Pick<AdmissionRequest, "authorization" | "claimedTeam">,
    isOpen: boolean,
): AuthenticationResult {
    const { authorization, claimedTeam } = request;
    if (authorization === undefined) {
        return isOpen ? matchClaimedTeam(guestTeamName, claimedTeam) : refused(NotRunReason.NoKey);
    }
    if (!authorization.startsWith(bearerPrefix)) {
        return refused(NotRunReason.BadKey);
    }
    const key = checkKey(state, pendingWithdrawals, authorization.slice(bearerPrefix.length));
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

/** Returns the timeout in milliseconds, capped at the queue's own; undefined when it is malformed. */
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
