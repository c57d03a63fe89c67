/**
 * The tree in which a table keeps the tasks of a job that have had a run: blocks of tasks, and trees of blocks or of smaller trees,
 * each with the counts of the tasks below it. Nodes are immutable; positions are relative to a node's first task.
 */
import type { PositionRange, TaskLayout } from "./task-layout.js";
import { isHeldTask, TaskPhase, type TaskState } from "./task-state.js";

/** Number of tasks in a block, and of blocks or smaller trees in a tree. */
export const blockTasks = 64;

/** A task: absent before its first run, its run number once it is done and nothing else is to be known of it. */
export type Item = TaskState | number | undefined;

/** Number of tasks below a node that are in each set; `Open` and `Unfinished` are what remains of all tasks. */
export interface Tally {
    readonly notOpen: number;
    readonly claimed: number;
    readonly done: number;
    readonly begun: number;
    readonly withLosses: number;
    readonly withFailures: number;
}

/** A block of tasks. */
export interface Block extends Tally {
    readonly items: readonly Item[];
}

/** A tree of blocks, or of smaller trees. Absent children stand for tasks without a run. */
export interface Tree extends Tally {
    readonly children: readonly (Node | undefined)[];
}

export type Node = Block | Tree;

export const emptyTally: Tally = {
    notOpen: 0,
    claimed: 0,
    done: 0,
    begun: 0,
    withLosses: 0,
    withFailures: 0,
};
const doneTally: Tally = { notOpen: 1, claimed: 0, done: 1, begun: 1, withLosses: 0, withFailures: 0 };
/** Trees of which all children are the same one, by that child: the tasks of finished occurrences share them. */
const uniformTrees = new WeakMap<Node, Tree>();
/** Blocks of tasks that are all done in the same run, by its number. */
const doneBlocks = new Map<number, Block>();
/** Most run numbers for which such blocks are shared. */
const maxSharedRuns = 64;

/** Fills a list with absent entries up to an index. */
export function fillTo(list: unknown[], index: number): void {
    while (list.length < index) {
        list.push(undefined);
    }
}

export function replaceAt<T>(list: readonly T[] = [], index: number, value: T): readonly T[] {
    const copy = list.slice();
    fillTo(copy, index);
    copy[index] = value;
    return copy;
}

export function itemOf(task: TaskState): Item {
    const { phase, run, worker, failures, checkpoint, lostWorkers } = task;
    const isPlain = worker === "" && failures === 0 && checkpoint === "" && lostWorkers.length === 0;
    return phase === TaskPhase.Done && isPlain ? run : task;
}

export function blockOf(items: readonly Item[], tally: Tally): Block {
    const [run] = items;
    const isShared = tally.done === blockTasks && typeof run === "number" && run < maxSharedRuns
        && items.every(item => item === run);
    const { notOpen, claimed, done, begun, withLosses, withFailures } = tally;
    const block = { items, notOpen, claimed, done, begun, withLosses, withFailures };
    if (!isShared) {
        return block;
    }
    const shared = doneBlocks.get(run) ?? block;
    doneBlocks.set(run, shared);
    return shared;
}

export function treeOf(children: readonly (Node | undefined)[], tally: Tally, level: number): Tree {
    const [first] = children;
    const isUniform = tally.done === blockTasks ** (level + 1) && first !== undefined
        && children.every(child => child === first);
    const { notOpen, claimed, done, begun, withLosses, withFailures } = tally;
    const tree = { children, notOpen, claimed, done, begun, withLosses, withFailures };
    if (!isUniform) {
        return tree;
    }
    const shared = uniformTrees.get(first) ?? tree;
    uniformTrees.set(first, shared);
    return shared;
}

export function tallyOf(steps: TaskLayout["steps"], items: readonly Item[]): Tally {
    return items.reduce<Tally>((sum, item) => addTally(sum, tallyOfItem(item, steps)), emptyTally);
}

export function sumOf(nodes: readonly (Node | undefined)[]): Tally {
    return nodes.reduce<Tally>((sum, node) => addTally(sum, node ?? emptyTally), emptyTally);
}

/** Sum of `a` and `times` times `b`. */
export function addTally(a: Tally, b: Tally, times = 1): Tally {
    return {
        notOpen: a.notOpen + times * b.notOpen,
        claimed: a.claimed + times * b.claimed,
        done: a.done + times * b.done,
        begun: a.begun + times * b.begun,
        withLosses: a.withLosses + times * b.withLosses,
        withFailures: a.withFailures + times * b.withFailures,
    };
}

export function tallyOfItem(item: Item, steps: TaskLayout["steps"]): Tally {
    if (item === undefined) {
        return emptyTally;
    }
    if (typeof item === "number") {
        return doneTally;
    }
    const { phase, step, failures, lostWorkers } = item;
    return {
        notOpen: phase !== TaskPhase.Waiting || isHeldTask(item, steps[step]!) ? 1 : 0,
        claimed: phase === TaskPhase.Claimed ? 1 : 0,
        done: phase === TaskPhase.Done ? 1 : 0,
        begun: 1,
        withLosses: lostWorkers.length > 0 ? 1 : 0,
        withFailures: phase === TaskPhase.Waiting && failures > 0 ? 1 : 0,
    };
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
        case "withFailures":
            return typeof item === "object" && item.phase === TaskPhase.Waiting && item.failures > 0;
    }
}

/** Part of a tree; positions are relative to its first task. */
interface Span extends PositionRange {
    readonly node: Node | undefined;
    readonly level: number;
}

/** Number of tasks in a span that a count counts. */
export function countIn(
    { node, level, from, to }: Span,
    counted: keyof Tally,
    steps: TaskLayout["steps"],
): number {
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
    const { children } = node as Tree;
    const childSize = size / blockTasks;
    const last = Math.min(children.length - 1, Math.floor((to - 1) / childSize));
    for (let index = Math.max(0, Math.floor(from / childSize)); index <= last; index++) {
        const offset = index * childSize;
        const child = { node: children[index], level: level - 1, from: from - offset, to: to - offset };
        count += countIn(child, counted, steps);
    }
    return count;
}

/** First position in a span that is counted, or that is not if `isComplemented`; `to` if there is none. */
export function findIn(
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
    const { children } = node as Tree;
    const childSize = size / blockTasks;
    const last = Math.min(blockTasks - 1, Math.floor((to - 1) / childSize));
    for (let index = Math.floor(start / childSize); index <= last; index++) {
        const offset = index * childSize;
        const end = Math.min(to - offset, childSize);
        const child = { node: children[index], level: level - 1, from: from - offset, to: end };
        const found = findIn(child, counted, isComplemented, steps);
        if (found < end) {
            return offset + found;
        }
    }
    return to;
}

export function* changedIn(
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
