/** Circuit breaker: blocks calls to a failing service, and probes it with single calls until one succeeds. */
import type { Random } from "../../process/random.js";

/** State of a circuit breaker. */
export enum CircuitState {
    /** Calls pass. */
    Closed = "closed",
    /** Calls are blocked until the next probe. */
    Open = "open",
    /** A probe was let through and has not been answered yet. */
    HalfOpen = "probing",
}

/** Options of `CircuitBreaker.create`. */
export interface CircuitBreakerOptions {
    readonly now: () => number;
    readonly random: Random;
    /** Number of consecutive failures that opens the breaker. */
    readonly failureThreshold?: number;
    /** Mean time between probes, in milliseconds. */
    readonly meanProbeIntervalMs?: number;
}

const minJitterFactor = 0.5;

/** Counts consecutive failures and decides whether a call may be sent. */
export class CircuitBreaker {
    private consecutiveFailures = 0;
    private probeAt = 0;
    private currentState = CircuitState.Closed;

    private constructor(private readonly options: CircuitBreakerOptions) {}

    static create(options: CircuitBreakerOptions): CircuitBreaker {
        return new CircuitBreaker(options);
    }

    /** The current state. */
    get state(): CircuitState {
        return this.currentState;
    }

    /** Whether a call may be sent now. While the breaker is not closed, one call per probe interval may, as a probe. */
    tryAcquire(): boolean {
        if (this.currentState === CircuitState.Closed) {
            return true;
        }
        if (this.options.now() < this.probeAt) {
            return false;
        }
        this.currentState = CircuitState.HalfOpen;
        this.scheduleProbe();
        return true;
    }

    /** Records that a call was answered, and closes the breaker. */
    recordSuccess(): void {
        this.consecutiveFailures = 0;
        this.currentState = CircuitState.Closed;
    }

    /** Records that a call failed; opens the breaker once the failure threshold is reached. */
    recordFailure(): void {
        this.consecutiveFailures++;
        if (this.consecutiveFailures >= (this.options.failureThreshold ?? 5)) {
            this.currentState = CircuitState.Open;
            this.scheduleProbe();
        }
    }

    private scheduleProbe(): void {
        const { now, random, meanProbeIntervalMs = 800 } = this.options;
        this.probeAt = now() + meanProbeIntervalMs * (minJitterFactor + random.fraction());
    }
}
