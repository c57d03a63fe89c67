/** Watches for tasks that start after one of their runs has ended as done. */
import { RunEnd } from "../src/job/index.js";
import type { InvariantChecker } from "../standin/site/checker.js";
import type { StandinWorker } from "../standin/site/worker.js";

/** Time in which the link to a worker was harmed; times are monotonic, in milliseconds. */
export interface HarmedLink {
    readonly worker: string;
    readonly fromMs: number;
    readonly untilMs: number;
}

interface Done {
    readonly worker: StandinWorker;
    readonly at: number;
    /** Monotonic time at which an owner acknowledged the end, in milliseconds; undefined before. */
    acknowledgedAt: number | undefined;
}

interface Restart {
    readonly task: string;
    readonly worker: string;
    readonly doneAt: number;
    readonly startedAt: number;
    readonly acknowledgedAt: number | undefined;
    /** Whether the worker that reported the end had ended itself by the time of the start. */
    readonly isDoneLost: boolean;
}

/** Time before an end for which a harmed link may still have kept the report of it back. */
const harmSlackMs = 1000;

/** Starts after `done`. The checker of the site reports those after a stored end; this reports the ones before, too. */
export class DoneWatch {
    private readonly doneByTask = new Map<string, Done>();
    private readonly restarts: Restart[] = [];
    private excused = 0;

    private constructor() {}

    /** Begins to watch the events that a checker receives. */
    static create(checker: InvariantChecker): DoneWatch {
        const watch = new DoneWatch();
        const onRunStarted = checker.onRunStarted.bind(checker);
        const onRunEnded = checker.onRunEnded.bind(checker);
        const onEndAcknowledged = checker.onEndAcknowledged.bind(checker);
        checker.onRunStarted = (worker, order) => {
            watch.recordStart(order.task, performance.now());
            onRunStarted(worker, order);
        };
        checker.onRunEnded = (worker, task, run, outcome) => {
            if (outcome === RunEnd.Done) {
                watch.recordDone(worker, task, performance.now());
            }
            onRunEnded(worker, task, run, outcome);
        };
        checker.onEndAcknowledged = (worker, task, run, outcome) => {
            const done = watch.doneByTask.get(task);
            if (done !== undefined && outcome === RunEnd.Done) {
                done.acknowledgedAt ??= performance.now();
            }
            onEndAcknowledged(worker, task, run, outcome);
        };
        return watch;
    }

    recordDone(worker: StandinWorker, task: string, at: number): void {
        this.doneByTask.set(task, { worker, at, acknowledgedAt: undefined });
    }

    recordStart(task: string, startedAt: number): void {
        const done = this.doneByTask.get(task);
        if (done !== undefined) {
            const { worker, at: doneAt, acknowledgedAt } = done;
            this.restarts.push({
                task,
                worker: worker.id,
                doneAt,
                startedAt,
                acknowledgedAt,
                isDoneLost: !worker.isAlive,
            });
        }
    }

    /** Starts after `done`, except where the end was lost with its worker, or its link kept the report back. */
    breaches(harmed: readonly HarmedLink[], roundStartedAt: number): readonly string[] {
        const unexcused = this.restarts.filter(({ worker, doneAt, startedAt, isDoneLost }) =>
            !isDoneLost
            && !harmed.some(harm =>
                harm.worker === worker && harm.fromMs <= startedAt && harm.untilMs >= doneAt - harmSlackMs
            )
        );
        this.excused = this.restarts.length - unexcused.length;
        return unexcused.map(({ task, worker, doneAt, startedAt }) =>
            `${Math.round(startedAt - roundStartedAt)} ms: ${task} starts ${
                Math.round(startedAt - doneAt)
            } ms after it was done on ${worker}`
        );
    }

    /** Figures of the watch, after `breaches`, and the starts after an end that an owner had acknowledged, each as a line. */
    summary(roundStartedAt: number): readonly string[] {
        const since = (at: number): number => Math.round(at - roundStartedAt);
        const acknowledged = this.restarts.flatMap(({ task, worker, doneAt, startedAt, acknowledgedAt }) =>
            acknowledgedAt === undefined ? [] : [
                `${since(startedAt)} ms: ${task} starts; done on ${worker} at ${
                    since(doneAt)
                } ms, acknowledged at ${since(acknowledgedAt)} ms`,
            ]
        );
        return [
            ...acknowledged,
            `${this.doneByTask.size} tasks done; ${this.restarts.length} starts after done, ${this.excused} of them excused by a worker that was lost or cut off`,
        ];
    }
}
