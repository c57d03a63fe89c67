/** Typed error kinds. Each message names what is wrong and what to do about it. */
import ModernError from "modern-errors";

/** Common ancestor of every error that celerywind raises on purpose. */
export const CelerywindError = ModernError.subclass("CelerywindError");

/** A settings file or list that does not match its schema. */
export const ConfigError = CelerywindError.subclass("ConfigError");

/** The platform did not answer, answered with an error, or its answer was lost. */
export const PlatformError = CelerywindError.subclass("PlatformError");

/** The store client refused a call because of its own budget or circuit breaker. */
export const StoreBusyError = CelerywindError.subclass("StoreBusyError");

/** Another operator's change was accepted first. */
export const RevisionConflictError = CelerywindError.subclass("RevisionConflictError");

/** A request from an operator that cannot be carried out as given. */
export const OperatorError = CelerywindError.subclass("OperatorError");

/** A peer link failed its handshake or broke the protocol. */
export const PeerError = CelerywindError.subclass("PeerError");

/** The message of any thrown value. */
export function messageOf(err: unknown): string {
    return err instanceof Error ? err.message : String(err);
}
