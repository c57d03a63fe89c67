/**
 * Membership of entry VMs: each registers one row with a new incarnation at start. A member counts as gone only on
 * evidence, because an entry that is merely silent may still hold grants.
 */
import type { VmList } from "./platform.js";
import { VmState } from "./platform.js";
import { commit, CommitOutcome, getRow, putWrite, type Row, type StoreFlow, StorePriority } from "./store.js";

const memberRowPrefix = "fleet/member/";

/** A registered entry. */
export interface Member {
    readonly vm: string;
    /** Grows by one each time the VM's daemon starts. */
    readonly generation: number;
    /** Identifies one run of the daemon on one VM. */
    readonly incarnation: string;
    /** WebSocket address of the peer listener. */
    readonly peerUrl: string;
    readonly zone: string;
    /** The platform's list contained the VM before it registered. */
    readonly listed: boolean;
    /** The VM's previous incarnation gave back all it held before it ended. */
    readonly previousDeparted: boolean;
    /** This incarnation stopped as planned, after giving back all it held. */
    readonly departed: boolean;
}

/** What an entry states about itself when it registers. */
export type Registration = Pick<Member, "vm" | "peerUrl" | "zone" | "listed">;

/** Text that identifies one run of the daemon on one VM. */
export function incarnationOf(vm: string, generation: number): string {
    return `${vm}#${generation}`;
}

/** Registers a new incarnation of this entry; undefined when the store could not say or another start raced. */
export function* register(self: Registration): StoreFlow<Member | undefined> {
    const key = memberRowPrefix + self.vm;
    const row = yield* getRow(key, StorePriority.Accept);
    const previous = row?.value as Member | undefined;
    const generation = (previous?.generation ?? 0) + 1;
    const member: Member = {
        ...self,
        generation,
        incarnation: incarnationOf(self.vm, generation),
        previousDeparted: previous?.departed ?? true,
        departed: false,
    };
    const outcome = yield* commit([putWrite(key, row, member)], StorePriority.Accept);
    return outcome === CommitOutcome.Committed ? member : undefined;
}

/** Marks a planned stop as complete by removing the member's row, if it is still this incarnation's. */
export function* deregister(member: Member): StoreFlow<boolean> {
    const row = yield* getRow(memberRowPrefix + member.vm, StorePriority.Accept);
    if (row === undefined || (row.value as Member).incarnation !== member.incarnation) {
        return true;
    }
    const left: Member = { ...member, departed: true };
    return (yield* commit([putWrite(row.key, row, left)], StorePriority.Accept)) === CommitOutcome.Committed;
}

/** What is known about the entries of the fleet. */
export interface MemberView {
    /** Registered members that have not departed and are not gone. */
    readonly live: readonly Member[];
    /** Newest generation seen for each VM. */
    readonly generations: ReadonlyMap<string, number>;
    /** VMs that some read of the platform's list contained, here or at the member itself before it registered. */
    readonly everListed: ReadonlySet<string>;
    /** VMs that were listed once and are no longer, or are listed as failed. */
    readonly lostVms: ReadonlySet<string>;
    /** Incarnations that stopped as planned. */
    readonly departed: ReadonlySet<string>;
    /** Ended incarnations whose work may still be running on workers. */
    readonly endedUncleanly: readonly string[];
}

/** The view before anything was read. */
export const emptyMemberView: MemberView = {
    live: [],
    generations: new Map(),
    everListed: new Set(),
    lostVms: new Set(),
    departed: new Set(),
    endedUncleanly: [],
};

/** Whether a row is a member's row. */
export function isMemberRow(row: Row): boolean {
    return row.key.startsWith(memberRowPrefix);
}

/** The view after reading the member rows and, when it could be read, the platform's list. */
export function updateMemberView(
    view: MemberView,
    rows: readonly Row[],
    list: VmList | undefined,
): MemberView {
    const listed = list === undefined ? undefined : new Set(list.vms.filter(hasNotFailed).map(vm => vm.id));
    const members = rows.map(row => row.value as Member);
    const registered = members.filter(member => member.listed).map(member => member.vm);
    const everListed = new Set([...view.everListed, ...registered, ...(listed ?? [])]);
    const lostVms = listed === undefined
        ? view.lostVms
        : new Set([...everListed].filter(vm => !listed.has(vm)));
    return {
        live: members.filter(member => !member.departed && !lostVms.has(member.vm)),
        generations: new Map(members.map(member => [member.vm, member.generation])),
        everListed,
        lostVms,
        departed: new Set(members.filter(member => member.departed).map(member => member.incarnation)),
        endedUncleanly: members.flatMap(member => uncleanIncarnationsOf(member, lostVms)),
    };
}

function uncleanIncarnationsOf(member: Member, lostVms: ReadonlySet<string>): readonly string[] {
    const previous = member.previousDeparted ? [] : [incarnationOf(member.vm, member.generation - 1)];
    const isUnclean = lostVms.has(member.vm) && !member.departed;
    return isUnclean ? [...previous, member.incarnation] : previous;
}

function hasNotFailed(vm: VmList["vms"][number]): boolean {
    return vm.state !== VmState.Failed;
}

/** Whether there is evidence that an incarnation has ended. */
export function hasEnded(view: MemberView, incarnation: string): boolean {
    const [vm = "", generation = "0"] = incarnation.split("#");
    return view.lostVms.has(vm) || view.departed.has(incarnation)
        || Number(generation) < (view.generations.get(vm) ?? 0);
}
