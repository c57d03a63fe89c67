/** Error classes. Each message states the fault and its remedy. */
import ModernError from "modern-errors";

/** Base class of all errors that celerywind throws deliberately. */
export const CelerywindError = ModernError.subclass("CelerywindError");

/** A settings file or a list does not match its schema. */
export const ConfigError = CelerywindError.subclass("ConfigError");

/** The platform did not answer, answered with an error, or its answer was lost. */
export const PlatformError = CelerywindError.subclass("PlatformError");

/** The store client rejected a call locally, because its rate budget was used up or its circuit breaker was open. */
export const StoreBusyError = CelerywindError.subclass("StoreBusyError");

/** A change conflicts with another operator's change that was accepted first. */
export const RevisionConflictError = CelerywindError.subclass("RevisionConflictError");

/** An operator's request is invalid or cannot be carried out. */
export const OperatorError = CelerywindError.subclass("OperatorError");

/** A peer link failed its handshake or violated the protocol. */
export const PeerError = CelerywindError.subclass("PeerError");

/** A listener cannot bind its address. */
export const ListenError = CelerywindError.subclass("ListenError");

/** Message of a thrown value of any type. */
export function messageOf(err: unknown): string {
    return err instanceof Error ? err.message : String(err);
}
