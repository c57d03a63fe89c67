/** Order in which connections make room for new ones. */

/** How expendable a connection is when another one needs its place; the higher, the more. */
export enum Expendability {
    /** It has requests that are handled, or bodies and answers that progress fast enough. */
    Busy,
    Slow,
    Idle,
    /** It has not sent a whole request. */
    Unused,
    /** It was answered for the last time. */
    Lingering,
}
