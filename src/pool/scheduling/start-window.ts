/**
 * How many start requests an owner has in flight at once.
 *
 * Load pattern: a burst at an owner that is short of processor time, as after the loss of an owner or of all entries. Each request
 * needs the owner twice, to be sent and to have its answer read. If more are sent at once than the owner can handle within their
 * time limit, they end without an answer though the workers have started the runs, which then have to be stopped and started again.
 */

/** Requests in flight at first, at least and at most. With the least, an owner whose turns take 100 ms still starts 160 tasks a second. */
const initialSize = 64;
const minSize = 16;
const maxSize = 256;
/**
 * Median time that requests wait at the owner from which fewer are sent at once: a quarter of the time limit, since the slowest
 * wait far longer.
 */
const maxDelayMs = 50;
/** Longest time that a request is assumed to take without a wait at the owner: half of the time limit. */
const maxFloorMs = 100;
/** Least share of the window that is left after one change, and the factor by which it grows. */
const maxShrinkFactor = 0.5;
const growthFactor = 2;
/** Requests after which the window may change, and the least number of answers among them that tell enough. */
const sampleCount = 16;
const minAnswers = 4;

/** A start request that has ended, after a time in milliseconds. */
export interface EndedRequest {
    readonly ms: number;
    /** Whether its worker has answered, be it with a refusal. */
    readonly isAnswered: boolean;
}

/** A change of the window. */
export interface WindowChange {
    readonly size: number;
    readonly previousSize: number;
    /** Median duration of the last requests, in milliseconds. */
    readonly medianMs: number;
}

/**
 * Congestion window for start requests. What they take beyond the shortest one is the owner's delay; the rest is that of links and
 * workers, which a smaller window would not change. Requests without an answer count only where hardly any is answered: they show that
 * their workers are silent as well as that the owner is late.
 */
export class StartWindow {
    private size = initialSize;
    private inFlight = 0;
    /** Whether the window was full since its last change; without that, its size has shown nothing. */
    private wasFull = false;
    /** Duration of a request without a wait at the owner, in milliseconds; 0 until the smallest window has shown another. */
    private floorMs = 0;
    private readonly ended: EndedRequest[] = [];

    static create(): StartWindow {
        return new StartWindow();
    }

    /** Whether another request may be sent now. */
    get hasRoom(): boolean {
        return this.inFlight < this.size;
    }

    /** Records that a request is being sent. */
    recordSent(): void {
        this.inFlight += 1;
        this.wasFull ||= !this.hasRoom;
    }

    /** Records the end of a request. Returns the change that follows from it. */
    recordEnded(request: EndedRequest): WindowChange | undefined {
        this.inFlight -= 1;
        this.ended.push(request);
        if (this.ended.length < sampleCount) {
            return undefined;
        }
        const answered = this.ended.filter(({ isAnswered }) => isAnswered);
        const durations = (answered.length >= minAnswers ? answered : this.ended).map(({ ms }) => ms)
            .sort((a, b) => a - b);
        const medianMs = durations[Math.floor(durations.length / 2)]!;
        this.updateFloor(durations[0]!);
        const size = this.sizeFor(medianMs);
        this.ended.length = 0;
        this.wasFull = !this.hasRoom;
        if (size === this.size) {
            return undefined;
        }
        const previousSize = this.size;
        this.size = size;
        return { size, previousSize, medianMs };
    }

    /** What the shortest request takes with the smallest window is not a wait for other requests. */
    private updateFloor(shortestMs: number): void {
        if (shortestMs < this.floorMs || this.size === minSize) {
            this.floorMs = Math.min(shortestMs, maxFloorMs);
        }
    }

    private sizeFor(medianMs: number): number {
        const delayMs = medianMs - this.floorMs;
        if (delayMs > maxDelayMs) {
            const factor = Math.max(maxShrinkFactor, (this.floorMs + maxDelayMs) / medianMs);
            return Math.max(minSize, Math.round(this.size * factor));
        }
        return this.wasFull && delayMs <= maxDelayMs / growthFactor
            ? Math.min(maxSize, this.size * growthFactor)
            : this.size;
    }
}
