/**
 * The tasks of a job by position: an immutable table in which a task takes memory only once it has had a run. A change copies a path
 * of a tree of blocks, so that its cost does not depend on the number of tasks; questions about ranges of tasks use the
 * counts that each block keeps.
 *
 * Load pattern: a job of hundreds of thousands of tasks, of which some hundreds run at a time, beside thousands of small jobs.
 */
import type { PositionRange, TaskLayout } from "./task-layout.js";
import { isHeldTask, TaskPhase, type TaskState } from "./task-state.js";

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
}

/** Number of tasks in a block, and of blocks or smaller trees in a tree. */
export const blockTasks = 64;

/** A task: absent before its first run, its run number once it is done and nothing else is to be known of it. */
type Item = TaskState | number | undefined;

/** Number of tasks below a node that are in each set; `Open` and `Unfinished` are what remains of all tasks. */
interface Tally {
    readonly notOpen: number;
    readonly claimed: number;
    readonly done: number;
    readonly begun: number;
    readonly withLosses: number;
}

/** A block of tasks. */
interface Block extends Tally {
    readonly items: readonly Item[];
}

/** A tree of blocks, or of smaller trees. Absent children stand for tasks without a run. */
interface Tree extends Tally {
    readonly children: readonly (Node | undefined)[];
}

type Node = Block | Tree;

/** Trees of which all children are the same one, by that child: the tasks of finished occurrences share them. */
const uniformTrees = new WeakMap<Node, Tree>();
/** Blocks of tasks that are all done in the same run, by its number. */
const doneBlocks = new Map<number, Block>();
/** Most run numbers for which such blocks are shared. */
const maxSharedRuns = 64;

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
        blocks.forEach((items, number) => nodes.set(number, blockOf(layout, items)));
        for (let level = 0; level < height; level++) {
            const parents = new Map<number, (Node | undefined)[]>();
            for (const [number, node] of nodes) {
                const parent = Math.floor(number / blockTasks);
                const children = parents.get(parent) ?? [];
                parents.set(parent, children);
                fillTo(children, number % blockTasks);
                children[number % blockTasks] = node;
            }
            nodes = new Map([...parents].map(([number, children]) => [number, treeOf(children)]));
        }
        return new TaskTable(layout, length, nodes.get(0), height);
    }

    /** Table with the tasks of one more occurrence. */
    withOccurrence(): TaskTable {
        const length = this.length + this.layout.tasksPerOccurrence;
        const height = heightFor(length);
        let { root } = this;
        for (let level = this.height; level < height && root !== undefined; level++) {
            root = treeOf([root]);
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
        const replace = (node: Node | undefined, level: number, offset: number): Node => {
            if (level === 0) {
                return blockOf(
                    this.layout,
                    replaceAt((node as Block | undefined)?.items, offset, itemOf(task)),
                );
            }
            const { children = [] } = (node as Tree | undefined) ?? {};
            const size = blockTasks ** level;
            const child = Math.floor(offset / size);
            return treeOf(
                replaceAt(children, child, replace(children[child], level - 1, offset % size)),
            );
        };
        return new TaskTable(
            this.layout,
            this.length,
            replace(this.root, this.height, position),
            this.height,
        );
    }

    /** Number of tasks of a set, of all tasks or in a range of positions. */
    count(set: TaskSet, { from, to }: PositionRange = { from: 0, to: this.length }): number {
        const span = { node: this.root, level: this.height, from, to };
        const counted = countIn(span, countedSet(set), this.layout.steps);
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
            before = treeOf([before]);
        }
        return changedIn(this.root, before, this.height, 0);
    }

    private itemAt(position: number): Item {
        const block = this.blockAt(Math.floor(position / blockTasks)) as Block | undefined;
        return block?.items[position % blockTasks];
    }

    private taskOf(position: number, doneRun: number | undefined): TaskState {
        return {
            ...this.layout.placeOf(position),
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

/** Fills a list with absent entries up to an index. */
function fillTo(list: unknown[], index: number): void {
    while (list.length < index) {
        list.push(undefined);
    }
}

function replaceAt<T>(list: readonly T[] = [], index: number, value: T): readonly T[] {
    const copy = list.slice();
    fillTo(copy, index);
    copy[index] = value;
    return copy;
}

function heightFor(length: number): number {
    let height = 0;
    for (let size = blockTasks; size < length; size *= blockTasks) {
        height++;
    }
    return height;
}

function itemOf(task: TaskState): Item {
    const { phase, run, worker, failures, checkpoint, lostWorkers } = task;
    const isPlain = worker === "" && failures === 0 && checkpoint === "" && lostWorkers.length === 0;
    return phase === TaskPhase.Done && isPlain ? run : task;
}

function blockOf({ steps }: TaskLayout, items: readonly Item[]): Block {
    const [run] = items;
    if (
        typeof run === "number" && run < maxSharedRuns && items.length === blockTasks
        && items.every(item => item === run)
    ) {
        const shared = doneBlocks.get(run) ?? { items, ...tallyOf(steps, items) };
        doneBlocks.set(run, shared);
        return shared;
    }
    return { items, ...tallyOf(steps, items) };
}

function tallyOf(steps: TaskLayout["steps"], items: readonly Item[]): Tally {
    let [notOpen, claimed, done, begun, withLosses] = [0, 0, 0, 0, 0];
    for (const item of items) {
        if (item === undefined) {
            continue;
        }
        begun++;
        if (typeof item === "number") {
            notOpen++;
            done++;
            continue;
        }
        notOpen += item.phase !== TaskPhase.Waiting || isHeldTask(item, steps[item.step]!) ? 1 : 0;
        claimed += item.phase === TaskPhase.Claimed ? 1 : 0;
        done += item.phase === TaskPhase.Done ? 1 : 0;
        withLosses += item.lostWorkers.length > 0 ? 1 : 0;
    }
    return { notOpen, claimed, done, begun, withLosses };
}

function treeOf(children: readonly (Node | undefined)[]): Tree {
    const [first] = children;
    const isUniform = first !== undefined && children.length === blockTasks
        && children.every(child => child === first);
    const shared = isUniform ? uniformTrees.get(first) : undefined;
    if (shared !== undefined) {
        return shared;
    }
    let [notOpen, claimed, done, begun, withLosses] = [0, 0, 0, 0, 0];
    for (const child of children) {
        if (child !== undefined) {
            notOpen += child.notOpen;
            claimed += child.claimed;
            done += child.done;
            begun += child.begun;
            withLosses += child.withLosses;
        }
    }
    const tree = { children, notOpen, claimed, done, begun, withLosses };
    if (isUniform) {
        uniformTrees.set(first, tree);
    }
    return tree;
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
    }
}

/** Whether a set is what remains of all tasks without the counted ones. */
function isComplement(set: TaskSet): boolean {
    return set === TaskSet.Open || set === TaskSet.Unfinished;
}

/** Whether a task is among those that a count counts. */
function isCounted(item: Item, counted: keyof Tally, steps: TaskLayout["steps"]): boolean {
    if (item === undefined) {
        return false;
    }
    switch (counted) {
        case "notOpen":
            return typeof item === "number" || item.phase !== TaskPhase.Waiting
                || isHeldTask(item, steps[item.step]!);
        case "claimed":
            return typeof item === "object" && item.phase === TaskPhase.Claimed;
        case "done":
            return typeof item === "number" || item.phase === TaskPhase.Done;
        case "begun":
            return true;
        case "withLosses":
            return typeof item === "object" && item.lostWorkers.length > 0;
    }
}

/** Part of a tree; positions are relative to its first task. */
interface Span extends PositionRange {
    readonly node: Node | undefined;
    readonly level: number;
}

/** Number of tasks in a span that a count counts. */
function countIn({ node, level, from, to }: Span, counted: keyof Tally, steps: TaskLayout["steps"]): number {
    if (node === undefined || from >= to) {
        return 0;
    }
    const size = blockTasks ** (level + 1);
    if (from <= 0 && to >= size) {
        return node[counted];
    }
    let count = 0;
    if (level === 0) {
        const { items } = node as Block;
        for (let index = Math.max(0, from); index < Math.min(items.length, to); index++) {
            count += isCounted(items[index], counted, steps) ? 1 : 0;
        }
        return count;
    }
    for (const child of childSpans({ node, level, from, to })) {
        count += countIn(child, counted, steps);
    }
    return count;
}

/** First position in a span that is counted, or that is not if `isComplemented`; `to` if there is none. */
function findIn(
    { node, level, from, to }: Span,
    counted: keyof Tally,
    isComplemented: boolean,
    steps: TaskLayout["steps"],
): number {
    const start = Math.max(0, from);
    if (start >= to || node === undefined) {
        return isComplemented ? Math.min(start, to) : to;
    }
    const size = blockTasks ** (level + 1);
    if (node[counted] === (isComplemented ? size : 0)) {
        return to;
    }
    if (level === 0) {
        const { items } = node as Block;
        for (let index = start; index < Math.min(to, blockTasks); index++) {
            if (isCounted(items[index], counted, steps) !== isComplemented) {
                return index;
            }
        }
        return to;
    }
    for (const child of childSpans({ node, level, from, to })) {
        const end = Math.min(child.to, size / blockTasks);
        const found = findIn({ ...child, to: end }, counted, isComplemented, steps);
        if (found < end) {
            return to - child.to + found;
        }
    }
    return to;
}

/** The parts of a span that lie in the children of its node. */
function* childSpans({ node, level, from, to }: Span): Generator<Span, void, undefined> {
    const { children } = node as Tree;
    const childSize = blockTasks ** level;
    const last = Math.min(blockTasks - 1, Math.floor((to - 1) / childSize));
    for (let index = Math.max(0, Math.floor(from / childSize)); index <= last; index++) {
        const offset = index * childSize;
        yield { node: children[index], level: level - 1, from: from - offset, to: to - offset };
    }
}

function* changedIn(
    node: Node | undefined,
    before: Node | undefined,
    level: number,
    firstBlock: number,
): Generator<number, void, undefined> {
    if (node === before) {
        return;
    }
    if (level === 0) {
        yield firstBlock;
        return;
    }
    const children = (node as Tree | undefined)?.children ?? [];
    const earlier = (before as Tree | undefined)?.children ?? [];
    const childBlocks = blockTasks ** (level - 1);
    for (let index = 0; index < Math.max(children.length, earlier.length); index++) {
        yield* changedIn(children[index], earlier[index], level - 1, firstBlock + index * childBlocks);
    }
}
