/**
 * Membership of entry VMs. Each entry registers one row with a new incarnation when it starts. A missing heartbeat does
 * not end a member, because an unreachable entry may still run work under its grants; it counts as ended only when the
 * platform's list no longer contains its VM or lists it as failed, it has departed, or its VM has a newer generation.
 */
import type { VmList } from "./platform.js";
import { VmState } from "./platform.js";
import { commit, CommitOutcome, getRow, putWrite, type Row, type StoreFlow, StorePriority } from "./store.js";

const memberRowPrefix = "fleet/member/";

/** A registered entry. */
export interface Member {
    readonly vm: string;
    /** Incremented each time the VM's daemon starts. */
    readonly generation: number;
    /** Identifies one run of the daemon on one VM. */
    readonly incarnation: string;
    /** WebSocket address of the peer listener. */
    readonly peerUrl: string;
    readonly zone: string;
    /** Whether the platform's list, as last read before the registration, contained the VM. */
    readonly listed: boolean;
    /** Whether the VM's previous incarnation returned all its grants before it ended; true if there was none. */
    readonly previousDeparted: boolean;
    /** Whether this incarnation completed a planned stop, after returning all its grants. */
    readonly departed: boolean;
}

/** Fields of a member that the entry supplies when it registers. */
export type Registration = Pick<Member, "vm" | "peerUrl" | "zone" | "listed">;

/** Incarnation id, in the form `VM#GENERATION`. */
export function incarnationOf(vm: string, generation: number): string {
    return `${vm}#${generation}`;
}

/** Registers a new incarnation of this entry; undefined on a conflict with another start or an unknown outcome. */
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

/**
 * Completes a planned stop by marking the member's row as departed, unless it belongs to a newer incarnation. Returns
 * false if the write was not confirmed as committed.
 */
export function* deregister(member: Member): StoreFlow<boolean> {
    const row = yield* getRow(memberRowPrefix + member.vm, StorePriority.Accept);
    if (row === undefined || (row.value as Member).incarnation !== member.incarnation) {
        return true;
    }
    const departed: Member = { ...member, departed: true };
    return (yield* commit([putWrite(row.key, row, departed)], StorePriority.Accept))
        === CommitOutcome.Committed;
}

/** Membership of the fleet as last read. */
export interface MemberView {
    /** Registered members that have not departed and whose VMs are not lost. */
    readonly live: readonly Member[];
    /** Latest generation of each VM. */
    readonly generations: ReadonlyMap<string, number>;
    /** VMs that the platform's list has contained, when read by this entry or by the member before it registered. */
    readonly everListed: ReadonlySet<string>;
    /** VMs of `everListed` that are no longer listed, or are listed as failed. */
    readonly lostVms: ReadonlySet<string>;
    /** Incarnations that completed a planned stop. */
    readonly departed: ReadonlySet<string>;
    /** Incarnations that ended without a planned stop, whose work may still be running on workers. */
    readonly endedUncleanly: readonly string[];
}

/** The view before the first read. */
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

/** Updates the view from the member rows and the platform's list; `list` is undefined if reading it failed. */
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

/** Whether an incarnation is known to have ended. */
export function hasEnded(view: MemberView, incarnation: string): boolean {
    const [vm = "", generation = "0"] = incarnation.split("#");
    return view.lostVms.has(vm) || view.departed.has(incarnation)
        || Number(generation) < (view.generations.get(vm) ?? 0);
}
