/** `celerywind zones list`: lists the availability zones. */
import { Command } from "clipanion";
import type { ZoneStatus } from "../operator/zones.js";
import { formatTable, OperatorCommand } from "./operator.js";

interface ZonesResult {
    readonly zones: readonly ZoneStatus[];
}

/** Prints the zones, which of them are evacuated, and what runs in each. */
export class ZonesListCommand extends OperatorCommand {
    static override paths = [["zones", "list"]];
    static override usage = Command.Usage({
        category: "Zones",
        description: "list the availability zones and what runs in each",
        examples: [["List the zones as JSON", "celerywind zones list --json"]],
    });

    protected perform(): Promise<ZonesResult> {
        return this.call<ZonesResult>("GET", "/v1/zones");
    }

    protected format({ zones }: ZonesResult): string {
        const rows = zones.map(({ zone, isEvacuated, evacuatedAt, vms, running, inForce, entries }) => [
            zone,
            isEvacuated ? "evacuated" : "in use",
            evacuatedAt === undefined ? undefined : new Date(evacuatedAt).toISOString(),
            vms,
            running,
            inForce === undefined ? undefined : `${inForce} of ${entries}`,
        ]);
        return formatTable([["ZONE", "STATE", "SINCE", "VMS", "RUNNING", "IN FORCE"], ...rows]);
    }
}
