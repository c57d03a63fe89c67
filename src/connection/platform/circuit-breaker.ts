/** Circuit breaker: stops calling a service that keeps failing, and probes it with single calls. */
import type { Random } from "../../process/random.js";

/** State of a breaker. */
export enum CircuitState {
    Closed = "closed",
    Open = "open",
    HalfOpen = "probing",
}

/** Options of `Breaker.create`. */
export interface CircuitBreakerOptions {
    readonly now: () => number;
    readonly random: Random;
    /** Failures in a row that open the breaker. */
    readonly failureThreshold?: number;
    /** Mean time between probes, in milliseconds. */
    readonly meanProbeIntervalMs?: number;
}

const minJitterFactor = 0.5;

/** Counts failures in a row and decides whether a call may go out. */
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

    /** Whether a call may go out now; while open, one call each probe period may. */
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

    /** Records that a call was answered. */
    recordSuccess(): void {
        this.consecutiveFailures = 0;
        this.currentState = CircuitState.Closed;
    }

    /** Records that a call was not answered. */
    recordFailure(): void {
        this.consecutiveFailures++;
        if (this.consecutiveFailures >= (this.options.failureThreshold ?? 5)) {
            this.currentState = CircuitState.Open;
            this.scheduleProbe();
        }
    }

    private scheduleProbe(): void {
        const { now, random, meanProbeIntervalMs: probeMs = 800 } = this.options;
        this.probeAt = now() + probeMs * (minJitterFactor + random.fraction());
    }
}
