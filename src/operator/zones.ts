/** Evacuation of availability zones by operators: the orders, and what still runs in each zone. */
import { messageOf, OperatorError } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import type { Fleet } from "../process/fleet.js";
import type { Log } from "../process/log.js";
import { entryPoolName, type Platform, type Vm } from "../process/platform.js";
import type { Timer } from "../process/timer.js";
import { workersByPool } from "../process/workers.js";
import type { ConfigurationReplica, ZoneChange } from "../version/configuration-replica.js";
import { ChangeKind } from "../version/state.js";

/** An availability zone that has worker VMs or is evacuated. */
export interface ZoneStatus {
    readonly zone: string;
    readonly isEvacuated: boolean;
    /** Wall-clock time of the evacuation, in milliseconds since the epoch; undefined if the zone is not evacuated. */
    readonly evacuatedAt: number | undefined;
    /** Number of worker VMs in the platform's list. */
    readonly vms: number;
    /**
     * Requests and tasks that run on these VMs, as this entry, its peers or the platform report them; undefined if the
     * platform's report cannot be read.
     */
    readonly running: number | undefined;
    /** Entries on which the evacuation is confirmed to be in force; undefined if the zone is not evacuated. */
    readonly inForce: number | undefined;
    /** Registered entries. */
    readonly entries: number;
}

/** Result of an order about a zone. */
export interface ZoneOrderResult {
    readonly zone: string;
    readonly isEvacuated: boolean;
    /** Revision that is in force. */
    readonly revision: number;
    /** Pools with VMs of which none may be assigned work, in alphabetical order. */
    readonly poolsWithoutVms: readonly string[];
}

/** Options of `ZoneOperations.create`. */
export interface ZoneOperationsOptions {
    readonly fleet: Fleet;
    readonly versions: ConfigurationReplica;
    readonly platform: Pick<Platform, "listUsage">;
    readonly timer: Timer;
    readonly log: Log;
    /** Requests and tasks on a worker that this entry or its peers know of. */
    readonly knownOnWorker: (vm: string) => number;
    /** Revision in force on the entry of a VM; undefined if it is not known. */
    readonly peerRevisionOf: (vm: string) => number | undefined;
}

/** Carries out the operators' orders about zones at one entry. */
export class ZoneOperations {
    private constructor(private readonly options: ZoneOperationsOptions) {}

    static create(options: ZoneOperationsOptions): ZoneOperations {
        return new ZoneOperations(options);
    }

    /** The zones of the fleet, in alphabetical order. */
    async list(): Promise<readonly ZoneStatus[]> {
        const { platform, log } = this.options;
        const usage = await platform.listUsage().catch((err: unknown) => {
            log.write(Severity.Warn, EventId.StoreUnavailable, { source: "usage", err: messageOf(err) });
            return undefined;
        });
        const reported = usage && new Map(usage.map(({ vm, running }) => [vm, running]));
        const { evacuatedZones } = this.options.versions.state;
        const names = new Set([...this.workerVms().map(({ zone }) => zone), ...evacuatedZones.keys()]);
        return [...names].sort().map(zone => this.statusOf(zone, reported));
    }

    /** Evacuates a zone. A zone that is evacuated already stays so, without a new revision. */
    async evacuate(zone: string): Promise<ZoneOrderResult> {
        const { versions, timer } = this.options;
        if (versions.state.evacuatedZones.has(zone)) {
            return this.resultOf(zone);
        }
        const zones = [...new Set(this.workerVms().map(vm => vm.zone))].sort();
        if (!zones.includes(zone)) {
            throw new OperatorError(
                `no worker VM is in the zone "${zone}"; the zones are: ${
                    zones.join(", ") || "none listed yet"
                }`,
            );
        }
        return this.order({ kind: ChangeKind.ZoneEvacuated, zone, at: Math.round(timer.wall()) });
    }

    /** Restores an evacuated zone; rejects with an `OperatorError` if it is not evacuated. */
    async restore(zone: string): Promise<ZoneOrderResult> {
        if (!this.options.versions.state.evacuatedZones.has(zone)) {
            throw new OperatorError(`the zone "${zone}" is not evacuated; see "celerywind zones list"`);
        }
        return this.order({ kind: ChangeKind.ZoneRestored, zone });
    }

    private async order(change: ZoneChange): Promise<ZoneOrderResult> {
        const { versions, log } = this.options;
        const { revision } = await versions.changeZone(change);
        const { kind, zone } = change;
        log.write(Severity.Warn, EventId.ZoneOrderAccepted, { zone, order: kind, revision });
        const result = this.resultOf(zone);
        for (const pool of result.poolsWithoutVms) {
            log.write(Severity.Warn, EventId.PoolWithoutWorkers, { pool, revision });
        }
        return result;
    }

    private resultOf(zone: string): ZoneOrderResult {
        const { versions: { state }, fleet } = this.options;
        const isWithoutVms = [...workersByPool(fleet.view)].filter(([, workers]) =>
            workers.length > 0 && workers.every(({ acceptsWork }) => !acceptsWork)
        );
        return {
            zone,
            isEvacuated: state.evacuatedZones.has(zone),
            revision: state.revision,
            poolsWithoutVms: isWithoutVms.map(([pool]) => pool).sort(),
        };
    }

    private statusOf(zone: string, reported: ReadonlyMap<string, number> | undefined): ZoneStatus {
        const { versions, fleet, knownOnWorker } = this.options;
        const evacuation = versions.state.evacuatedZones.get(zone);
        const vms = this.workerVms().filter(vm => vm.zone === zone);
        // The platform's report lags behind, and the entries do not count tasks that are being handed over.
        const running = reported && vms.map(({ id }) => Math.max(reported.get(id) ?? 0, knownOnWorker(id)));
        return {
            zone,
            isEvacuated: evacuation !== undefined,
            evacuatedAt: evacuation?.evacuatedAt,
            vms: vms.length,
            running: running?.reduce((sum, count) => sum + count, 0),
            inForce: evacuation && this.entriesAt(evacuation.revision),
            entries: fleet.live.length,
        };
    }

    /** Number of registered entries that have a revision, this one included. */
    private entriesAt(revision: number): number {
        const { fleet, peerRevisionOf } = this.options;
        return fleet.live.filter(({ vm }) => vm === fleet.self?.vm || (peerRevisionOf(vm) ?? 0) >= revision)
            .length;
    }

    private workerVms(): readonly Vm[] {
        return this.options.fleet.view.vms.filter(({ pool }) => pool !== entryPoolName);
    }
}
