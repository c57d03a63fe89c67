/** What the workers of a stand-in platform ran, as they saw it. */
import type { WirePlatform } from "../../standin/wire/platform.js";

/** One run of a subtask on a worker. */
export interface Run {
    readonly task: string;
    readonly run: number;
    readonly worker: string;
    /** Monotonic time, in milliseconds. */
    readonly startedAt: number;
    endedAt: number | undefined;
    /** How it ended; "gone" with its worker. */
    how: string | undefined;
}

/** Collects all runs of a platform, in the order of their starts. */
export function collectRuns({ checker }: WirePlatform): readonly Run[] {
    const runs: Run[] = [];
    const onStarted = checker.onRunStarted.bind(checker);
    const onEnded = checker.onRunEnded.bind(checker);
    checker.onRunStarted = (worker, request) => {
        const { task, run } = request;
        runs.push({
            task,
            run,
            worker: worker.id,
            startedAt: performance.now(),
            endedAt: undefined,
            how: undefined,
        });
        onStarted(worker, request);
    };
    checker.onRunEnded = (worker, task, run, outcome) => {
        const found = runs.findLast(each =>
            each.task === task && each.run === run && each.worker === worker.id
        );
        if (found !== undefined) {
            found.endedAt = performance.now();
            found.how = outcome;
        }
        onEnded(worker, task, run, outcome);
    };
    return runs;
}

/** Runs of a submission. */
export function runsOf(runs: readonly Run[], id: string): readonly Run[] {
    return runs.filter(({ task }) => task.startsWith(`${id}.`));
}
