/** Options of an entry's participation in a domain, and the VM manager that runs during its tenures. */
import type { EventLoopLagMonitor } from "../process/event-loop-lag.js";
import type { PeerAddress, Peers } from "../process/peers.js";
import type { RowPut, RowStore } from "../process/rows.js";
import type { TenureOptions } from "./tenure-context.js";
import type { Tenure } from "./tenure.js";

/** Options of `Domain.create`. */
export interface DomainOptions extends
    Pick<
        TenureOptions,
        | "roster"
        | "calls"
        | "adviser"
        | "directory"
        | "zones"
        | "timer"
        | "log"
        | "metrics"
        | "times"
        | "scheduling"
        | "jobParts"
    >
{
    readonly name: string;
    readonly entry: string;
    readonly incarnation: string;
    readonly peerUrl: string;
    /** Strength of this entry's VM, in units of `strengthUnitMb`. */
    readonly strength: number;
    /** Availability zone of this entry's VM; empty if unknown. */
    readonly zone: string;
    readonly store: RowStore & { readonly ageMs: number; readonly failedAt: number };
    readonly peers: Peers;
    readonly lag: EventLoopLagMonitor;
    /** Sets the peers that this entry keeps links to; called whenever they have changed. */
    readonly connectPeers: (peers: readonly PeerAddress[]) => void;
    /** Creates the VM manager for a tenure that begins. */
    readonly createVmManager: (tenure: Tenure) => VmManager;
}

/** Manages the VMs during a tenure. */
export interface VmManager {
    start(): void;
    /** Stops before a release of the domain. */
    stop(): Promise<void>;
    /** Stops at once, since the ownership has ended. */
    abort(): void;
    /** Row about recent orders to store with the release, after `stop`; undefined to keep the stored one. */
    handOverRow(): RowPut | undefined;
}
