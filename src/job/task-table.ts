/**
 * The tasks of a job by position: an immutable table in which a task takes memory only once it has had a run. A change copies a path
 * of a tree of blocks, so that its cost does not depend on the number of tasks; questions about ranges of tasks use the
 * counts that each block keeps.
 *
 * Load pattern: a job of hundreds of thousands of tasks, of which some hundreds run at a time, beside thousands of small jobs.
 */
import type { PositionRange, TaskLayout } from "./task-layout.js";
import { TaskPhase, type TaskState } from "./task-state.js";
import {
    addTally,
    type Block,
    blockOf,
    blockTasks,
    changedIn,
    countIn,
    emptyTally,
    fillTo,
    findIn,
    type Item,
    itemOf,
    type Node,
    replaceAt,
    sumOf,
    type Tally,
    tallyOf,
    tallyOfItem,
    type Tree,
    treeOf,
} from "./task-tree.js";

/** Sets of tasks that a table can count and list. */
export enum TaskSet {
    /** Tasks that wait for a run and are not held, see `isHeldTask`. */
    Open = "open",
    Claimed = "claimed",
    Done = "done",
    Unfinished = "unfinished",
    /** Tasks that have had a run. */
    Begun = "begun",
    /** Tasks under which workers were lost. */
    WithLosses = "with-losses",
    /** Tasks that wait for another run after failed ones, whether they are held or not. */
    WithFailures = "with-failures",
}

/** Tasks of a job. */
export class TaskTable implements Iterable<TaskState> {
    private constructor(
        readonly layout: TaskLayout,
        /** Number of tasks. */
        readonly length: number,
        private readonly root: Node | undefined,
        /** Levels of trees above the blocks. */
        private readonly height: number,
    ) {}

    /** Table of the tasks of a number of occurrences, none of which has had a run but those given. */
    static create(
        layout: TaskLayout,
        occurrences: number,
        begun: ReadonlyMap<number, TaskState> = new Map(),
    ): TaskTable {
        const length = occurrences * layout.tasksPerOccurrence;
        const height = heightFor(length);
        const blocks = new Map<number, Item[]>();
        for (const [position, task] of begun) {
            const number = Math.floor(position / blockTasks);
            const items = blocks.get(number) ?? [];
            blocks.set(number, items);
            fillTo(items, position % blockTasks);
            items[position % blockTasks] = itemOf(task);
        }
        let nodes = new Map<number, Node>();
        blocks.forEach((items, number) => nodes.set(number, blockOf(items, tallyOf(layout.steps, items))));
        for (let level = 0; level < height; level++) {
            const parents = new Map<number, (Node | undefined)[]>();
            for (const [number, node] of nodes) {
                const parent = Math.floor(number / blockTasks);
                const children = parents.get(parent) ?? [];
                parents.set(parent, children);
                fillTo(children, number % blockTasks);
                children[number % blockTasks] = node;
            }
            nodes = new Map(
                [...parents].map(([number, children]) => [
                    number,
                    treeOf(children, sumOf(children), level + 1),
                ]),
            );
        }
        return new TaskTable(layout, length, nodes.get(0), height);
    }

    /** Table with the tasks of one more occurrence. */
    withOccurrence(): TaskTable {
        const length = this.length + this.layout.tasksPerOccurrence;
        const height = heightFor(length);
        let { root } = this;
        for (let level = this.height; level < height && root !== undefined; level++) {
            root = treeOf([root], sumOf([root]), level + 1);
        }
        return new TaskTable(this.layout, length, root, height);
    }

    /** State of the task at a position. */
    at(position: number): TaskState {
        const item = this.itemAt(position);
        return typeof item === "object" ? item : this.taskOf(position, item);
    }

    /** Table with another state of one task. */
    with(position: number, task: TaskState): TaskTable {
        const { steps } = this.layout;
        const item = itemOf(task);
        const change = addTally(tallyOfItem(item, steps), tallyOfItem(this.itemAt(position), steps), -1);
        const replace = (node: Node | undefined, level: number, offset: number): Node => {
            const tally = addTally(node ?? emptyTally, change);
            if (level === 0) {
                return blockOf(replaceAt((node as Block | undefined)?.items, offset, item), tally);
            }
            const { children = [] } = (node as Tree | undefined) ?? {};
            const size = blockTasks ** level;
            const child = Math.floor(offset / size);
            const replaced = replace(children[child], level - 1, offset % size);
            return treeOf(replaceAt(children, child, replaced), tally, level);
        };
        const root = replace(this.root, this.height, position);
        return new TaskTable(this.layout, this.length, root, this.height);
    }

    /** Number of tasks of a set, of all tasks or in a range of positions. */
    count(set: TaskSet, { from, to }: PositionRange = { from: 0, to: this.length }): number {
        const isWhole = from === 0 && to === this.length;
        const counted = isWhole
            ? this.root?.[countedSet(set)] ?? 0
            : countIn({ node: this.root, level: this.height, from, to }, countedSet(set), this.layout.steps);
        return isComplement(set) ? to - from - counted : counted;
    }

    /** First position of a task of a set in a range; undefined if there is none. */
    first(set: TaskSet, { from, to }: PositionRange = { from: 0, to: this.length }): number | undefined {
        const span = { node: this.root, level: this.height, from, to };
        const found = findIn(span, countedSet(set), isComplement(set), this.layout.steps);
        return found < to ? found : undefined;
    }

    /** Positions of the tasks of a set, in ascending order. */
    *positions(
        set: TaskSet,
        { from, to }: PositionRange = { from: 0, to: this.length },
    ): Generator<number, void, undefined> {
        for (
            let position = this.first(set, { from, to });
            position !== undefined;
            position = this.first(set, { from: position + 1, to })
        ) {
            yield position;
        }
    }

    /** The tasks that have had a run. */
    *begunTasks(range?: PositionRange): Generator<TaskState, void, undefined> {
        for (const position of this.positions(TaskSet.Begun, range)) {
            yield this.at(position);
        }
    }

    /** All tasks in order, whatever their number. */
    *[Symbol.iterator](): Generator<TaskState, void, undefined> {
        for (let position = 0; position < this.length; position++) {
            yield this.at(position);
        }
    }

    /** Identity of a block of tasks: it changes with each change of one of them; undefined if none has had a run. */
    blockAt(number: number): object | undefined {
        let node = this.root;
        for (let level = this.height; level > 0; level--) {
            node = (node as Tree | undefined)
                ?.children[Math.floor(number / blockTasks ** (level - 1)) % blockTasks];
        }
        return node;
    }

    /** Numbers of the blocks that differ from those of an earlier table of the same job. */
    changedBlocks(earlier: TaskTable | undefined): Generator<number, void, undefined> {
        let before = earlier?.root;
        for (let level = earlier?.height ?? 0; level < this.height && before !== undefined; level++) {
            before = treeOf([before], sumOf([before]), level + 1);
        }
        return changedIn(this.root, before, this.height, 0);
    }

    private itemAt(position: number): Item {
        const block = this.blockAt(Math.floor(position / blockTasks)) as Block | undefined;
        return block?.items[position % blockTasks];
    }

    private taskOf(position: number, doneRun: number | undefined): TaskState {
        // Field by field, here and in the nodes: a literal that spreads another object is many times as slow.
        const { occurrence, step, index } = this.layout.placeOf(position);
        return {
            occurrence,
            step,
            index,
            phase: doneRun === undefined ? TaskPhase.Waiting : TaskPhase.Done,
            run: doneRun ?? 0,
            worker: "",
            workerStartedAt: 0,
            failures: 0,
            checkpoint: "",
            lostWorkers: [],
        };
    }
}

function heightFor(length: number): number {
    let height = 0;
    for (let size = blockTasks; size < length; size *= blockTasks) {
        height++;
    }
    return height;
}

/** The count from which the number of tasks of a set follows. */
function countedSet(set: TaskSet): keyof Tally {
    switch (set) {
        case TaskSet.Open:
            return "notOpen";
        case TaskSet.Claimed:
            return "claimed";
        case TaskSet.Done:
        case TaskSet.Unfinished:
            return "done";
        case TaskSet.Begun:
            return "begun";
        case TaskSet.WithLosses:
            return "withLosses";
        case TaskSet.WithFailures:
            return "withFailures";
    }
}

/** Whether a set is what remains of all tasks without the counted ones. */
function isComplement(set: TaskSet): boolean {
    return set === TaskSet.Open || set === TaskSet.Unfinished;
}
