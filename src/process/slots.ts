/** Names of the policies by which an entry picks a worker; the request layer implements them. */

/** A policy for choosing the worker of a request. */
export enum SlotPolicyKind {
    /** Of two random workers, the one with the lower known load. */
    TwoChoices = "two-choices",
    /**
     * Workers homed at this entry; requests beyond their slots are relayed to an entry with free ones. An entry without
     * any home worker in a pool makes two random choices.
     */
    Homed = "homed",
    /** Workers homed at this entry first, then two random choices among the rest. */
    HomeFirst = "home-first",
}
