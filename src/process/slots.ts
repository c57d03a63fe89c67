/** Names of the policies by which an entry picks a worker; the request layer implements them. */

/** A policy for choosing the worker of a request. */
export enum SlotPolicyKind {
    /** Of two random workers, the one with the lower known load. */
    TwoChoices = "two-choices",
    /** Only workers homed at this entry by rendezvous hashing. */
    Homed = "homed",
    /** Workers homed at this entry first, then two random choices among the rest. */
    HomeFirst = "home-first",
}
