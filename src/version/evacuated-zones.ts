/** Availability zones that operators have evacuated, as part of the configuration of one revision. */
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";

/** An evacuation in force. */
export interface ZoneEvacuation {
    /** Revision that evacuated the zone. */
    readonly revision: number;
    /** Wall-clock time of the order, in milliseconds since the epoch. */
    readonly evacuatedAt: number;
}

/** Evacuations in force, by zone. */
export type EvacuatedZones = ReadonlyMap<string, ZoneEvacuation>;

/** Adds a zone; one that is evacuated already keeps the revision and time of the earlier order. */
export function withZone(zones: EvacuatedZones, zone: string, evacuation: ZoneEvacuation): EvacuatedZones {
    return zones.has(zone) ? zones : new Map(zones).set(zone, evacuation);
}

/** Removes a zone. */
export function withoutZone(zones: EvacuatedZones, zone: string): EvacuatedZones {
    return new Map([...zones].filter(([name]) => name !== zone));
}

/** Logs the zones that a newer revision has evacuated or restored. `now` is the wall-clock time in milliseconds. */
export function logZoneChanges(
    log: Log,
    before: EvacuatedZones,
    after: EvacuatedZones,
    revision: number,
    now: number,
): void {
    for (const [zone, evacuation] of after) {
        if (!before.has(zone)) {
            log.write(Severity.Warn, EventId.ZoneEvacuated, { zone, version: evacuation.revision });
        }
    }
    for (const [zone, { evacuatedAt }] of before) {
        if (!after.has(zone)) {
            const evacuatedMs = Math.round(now - evacuatedAt);
            log.write(Severity.Warn, EventId.ZoneRestored, { zone, version: revision, evacuatedMs });
        }
    }
}
