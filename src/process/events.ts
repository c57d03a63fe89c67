/** Numbered log events. docs/EVENTS.md lists them with cause and remedy; a test keeps the two in step. */

/** Identifies a log event for good: numbers are never reused. */
export enum EventId {
    EntryStarted = 1001,
    EntryReady = 1002,
    EntryStopping = 1003,
    EntryStopped = 1004,
    EntryIsolated = 1005,
    EntryRejoined = 1006,
    MemberRegistered = 1101,
    MemberGone = 1102,
    PeerConnected = 1201,
    PeerLost = 1202,
    PeerRejected = 1203,
    PeerFrameInvalid = 1204,
    ListsAdopted = 1301,
    ListsApplied = 1302,
    ListsConflict = 1303,
    KeyGiven = 1401,
    KeyWithdrawn = 1402,
    KeyRejected = 1403,
    KeyGuessing = 1404,
    StoreUnavailable = 1501,
    StoreRecovered = 1502,
    StoreAnswerLost = 1503,
    GrantChanged = 1601,
    GrantQuarantined = 1602,
    GrantReleased = 1603,
    WorkerEjected = 1701,
    JobAccepted = 1801,
    JobFinished = 1802,
    JobRecovered = 1803,
    JobUncertain = 1804,
    JobFailed = 1805,
    PermitTaken = 1901,
    PermitReleased = 1902,
    VmRebooted = 1903,
    WaveHalted = 1904,
    VmMoved = 1905,
    TaskFailed = 1999,
}

/** How serious an event is. */
export enum Severity {
    Info = "info",
    Warn = "warn",
    Error = "error",
}
