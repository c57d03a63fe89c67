/** `celerywind zones evacuate`: evacuates an availability zone. */
import { Command, Option } from "clipanion";
import type { ZoneOrderResult } from "../operator/zones.js";
import { OperatorCommand } from "./operator.js";

/** Evacuates a zone and prints the revision, and the pools that are left without a VM. */
export class ZonesEvacuateCommand extends OperatorCommand {
    static override paths = [["zones", "evacuate"]];
    static override usage = Command.Usage({
        category: "Zones",
        description: "start nothing more in an availability zone",
        details:
            "What runs there ends by itself; the evacuation is done when `celerywind zones list` shows nothing running.",
        examples: [["Evacuate a zone", "celerywind zones evacuate zone-b"]],
    });

    zone = Option.String({ name: "zone" });

    protected perform(): Promise<ZoneOrderResult> {
        return this.call<ZoneOrderResult>("PUT", `/v1/zones/${encodeURIComponent(this.zone)}`);
    }

    protected format({ zone, revision, poolsWithoutVms }: ZoneOrderResult): string {
        return [
            `zone ${zone} is evacuated at revision ${revision}; see "celerywind zones list" for what still runs there`,
            ...poolsWithoutVms.map(pool => `pool ${pool} has no VM left that may be assigned work`),
        ].join("\n");
    }
}
