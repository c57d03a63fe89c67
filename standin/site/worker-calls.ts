/** Calls of the entries to the workers of a stand-in site, with the faults of their way. */
import {
    type HoldRequest,
    type HoldResult,
    type StartResult,
    type WorkerClient,
    type WorkerTarget,
} from "../../src/pool/ports.js";
import { sleep, type Timer } from "../../src/process/timer.js";
import type { StandinWorker } from "./worker.js";

/** Options of `WorkerCalls.create`. */
export interface WorkerCallsOptions {
    readonly timer: Timer;
    /** The incarnation of a worker that is alive; undefined if there is none. */
    readonly findWorker: (id: string) => StandinWorker | undefined;
    /** Whether an entry cannot reach a worker. */
    readonly isCutOff: (worker: string, entry: string) => boolean;
    /** Carries out an order that the worker has received long after it was sent. */
    readonly carryOutLate: (order: () => void) => void;
}

/** Kind of a call to a worker. */
export enum CallKind {
    Start = "start",
    Stop = "stop",
    Hold = "hold",
}

/** A call that was delivered to a later incarnation than the one that was there when it was sent. */
export interface MisdeliveredCall {
    readonly kind: CallKind;
    readonly worker: StandinWorker;
}

interface Sender {
    readonly entry: string;
    readonly timer: Timer;
}

interface WorkerCall<T> {
    readonly kind: CallKind;
    readonly limitMs: number;
    readonly carryOut: (worker: StandinWorker, answer: (result: T) => void) => void;
    readonly failure: (reason: string) => T;
}

/** A call on its way, and what becomes of its result at the sender. */
interface SentCall<T> extends WorkerCall<T> {
    readonly sender: Sender;
    readonly target: WorkerTarget;
    /** Monotonic time of the sender at which it gives the call up. */
    readonly expiresAt: number;
    readonly resolve: (result: T) => void;
}

const callLatencyMs = 1;
/** Time after which a call to a worker that does not answer fails. */
const callTimeoutMs = 200;
/** Time limits of the product's client, which hold for calls to a worker that restarts under its id. */
const startLimitMs = 200;
const stopLimitMs = 250;
const holdMarginMs = 500;

/** Carries calls to the workers. */
export class WorkerCalls {
    /** Calls that were delivered to a later incarnation than the one that was there when they were sent. */
    readonly misdeliveredCalls: MisdeliveredCall[] = [];
    /** Time by which the answer to a call is late, so that answers overtake each other; none by default. */
    answerDelayMs: (kind: CallKind) => number = () => 0;
    /** Deliveries that wait for the next incarnation, by worker id. */
    private readonly heldCalls = new Map<string, ((worker: StandinWorker) => void)[]>();
    /** Called for calls that an incarnation has not answered yet when it ends without a trace. */
    private readonly lossHandlers = new WeakMap<StandinWorker, Set<() => void>>();

    private constructor(private readonly options: WorkerCallsOptions) {}

    static create(options: WorkerCallsOptions): WorkerCalls {
        return new WorkerCalls(options);
    }

    /**
     * Holds the calls that arrive for a worker from now on until `release`. Those that it has not answered are lost: their
     * senders give them up at their time limits.
     */
    holdCalls(worker: StandinWorker): void {
        this.heldCalls.set(worker.id, []);
        this.lossHandlers.get(worker)?.forEach(onLost => onLost());
        this.lossHandlers.delete(worker);
    }

    /** Delivers the calls that were held for a worker to its next incarnation, if there is one. */
    release(id: string, next: StandinWorker | undefined): void {
        const deliveries = this.heldCalls.get(id) ?? [];
        this.heldCalls.delete(id);
        if (next !== undefined) {
            deliveries.forEach(deliver => this.options.carryOutLate(() => deliver(next)));
        }
    }

    /** The client of one entry, whose process has the timer. */
    clientFor(entry: string, timer: Timer): WorkerClient {
        const sender = { entry, timer };
        return {
            start: (target, request) =>
                this.send<StartResult>(sender, target, {
                    kind: CallKind.Start,
                    limitMs: startLimitMs,
                    carryOut: (worker, answer) => answer(worker.start(request)),
                    failure: reason => ({ kind: "unknown", reason }),
                }),
            stop: (target, task, run, fence) =>
                this.send(sender, target, {
                    kind: CallKind.Stop,
                    limitMs: stopLimitMs,
                    carryOut: (worker, answer) => answer(worker.stop(task, run, fence)),
                    failure: reason => ({ kind: "failed", reason }),
                }),
            hold: (target, request: HoldRequest) =>
                this.send<HoldResult>(sender, target, {
                    kind: CallKind.Hold,
                    limitMs: request.waitMs + holdMarginMs,
                    carryOut: (worker, answer) => worker.hold(request, answer),
                    failure: reason => ({ kind: "unknown", reason }),
                }),
            pace: () => Promise.resolve({ kind: "done" }),
            retain: () => undefined,
        };
    }

    private async send<T>(sender: Sender, target: WorkerTarget, call: WorkerCall<T>): Promise<T> {
        const expiresAt = sender.timer.now() + call.limitMs;
        await sleep(sender.timer, callLatencyMs);
        const worker = this.options.findWorker(target.worker);
        if (worker?.faults.rejectsCalls === true) {
            throw new Error("Invalid URL");
        }
        return new Promise(resolve => this.deliver(worker, { ...call, sender, target, expiresAt, resolve }));
    }

    private deliver<T>(worker: StandinWorker | undefined, call: SentCall<T>): void {
        const { sender, target, kind, carryOut, failure, resolve } = call;
        const isCommand = kind !== CallKind.Hold;
        const timeOut = (): void => void sender.timer.after(callTimeoutMs, () => resolve(failure("timeout")));
        const isCutOff = this.options.isCutOff(target.worker, sender.entry);
        if (this.heldCalls.has(target.worker) && !isCutOff) {
            this.hold(call);
        }
        else if (worker === undefined || worker.faults.isUnreachable || isCutOff) {
            timeOut();
        }
        else if (isCommand && worker.faults.commandDelayMs > 0) {
            this.options.timer.after(worker.faults.commandDelayMs, () => this.deliverLate(worker, call));
            timeOut();
        }
        else if (isCommand && worker.faults.losesAnswers) {
            carryOut(worker, () => undefined);
            timeOut();
        }
        else {
            this.carryOut(worker, call);
        }
    }

    /** Delivers a command to whichever incarnation is there; nobody waits for its answer. */
    private deliverLate<T>(sentTo: StandinWorker, { kind, target, carryOut }: SentCall<T>): void {
        const deliver = (worker: StandinWorker): void => {
            if (worker !== sentTo) {
                this.misdeliveredCalls.push({ kind, worker });
            }
            this.options.carryOutLate(() => carryOut(worker, () => undefined));
        };
        const held = this.heldCalls.get(target.worker);
        const worker = this.options.findWorker(target.worker);
        if (held !== undefined) {
            held.push(deliver);
        }
        else if (worker !== undefined) {
            deliver(worker);
        }
    }

    /** Holds a call for the next incarnation; it is delivered there even if its sender has given it up by then. */
    private hold<T>(call: SentCall<T>): void {
        const { sender, target, kind } = call;
        this.heldCalls.get(target.worker)?.push(worker => {
            if (!this.options.isCutOff(worker.id, sender.entry)) {
                this.misdeliveredCalls.push({ kind, worker });
                this.carryOut(worker, call);
            }
        });
        this.giveUpInTime(call);
    }

    private carryOut<T>(worker: StandinWorker, call: SentCall<T>): void {
        const { sender, target, kind, expiresAt, carryOut, failure, resolve } = call;
        const { timer } = sender;
        const { isCutOff } = this.options;
        const onLost = (): void => this.giveUpInTime(call);
        const handlers = this.lossHandlers.get(worker) ?? new Set();
        this.lossHandlers.set(worker, handlers.add(onLost));
        carryOut(worker, result => {
            const delayMs = this.answerDelayMs(kind);
            const isLate = delayMs > 0 && timer.now() + callLatencyMs + delayMs > expiresAt;
            const travelMs = isLate ? expiresAt - timer.now() : callLatencyMs + delayMs;
            timer.after(travelMs, () => {
                if (!handlers.delete(onLost)) {
                    return;
                }
                const isLost = isLate || isCutOff(target.worker, sender.entry) || !worker.isAlive
                    || worker.faults.isUnreachable;
                resolve(isLost ? failure("timeout") : result);
            });
        });
    }

    private giveUpInTime<T>({ sender, expiresAt, failure, resolve }: SentCall<T>): void {
        sender.timer.after(expiresAt - sender.timer.now(), () => resolve(failure("timeout")));
    }
}
