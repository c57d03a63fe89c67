/** Policies by which an entry selects a worker. The request layer implements them. */

/** Policy for selecting the worker of a request. */
export enum SlotPolicyKind {
    /** The worker with the lower known load out of two chosen at random. */
    TwoChoices = "two-choices",
    /**
     * Only workers whose home entry is this one. Requests that exceed their slots are relayed to an entry with free
     * slots. An entry that is home to no worker of the pool uses two random choices instead.
     */
    Homed = "homed",
    /** Workers whose home entry is this one first, then two random choices among the others. */
    HomeFirst = "home-first",
}
