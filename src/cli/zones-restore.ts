/** `celerywind zones restore`: ends the evacuation of an availability zone. */
import { Command, Option } from "clipanion";
import type { ZoneOrderResult } from "../operator/zones.js";
import { OperatorCommand } from "./operator.js";

/** Restores an evacuated zone and prints the revision. */
export class ZonesRestoreCommand extends OperatorCommand {
    static override paths = [["zones", "restore"]];
    static override usage = Command.Usage({
        category: "Zones",
        description: "end the evacuation of an availability zone",
        examples: [["Restore a zone", "celerywind zones restore zone-b"]],
    });

    zone = Option.String({ name: "zone" });

    protected perform(): Promise<ZoneOrderResult> {
        return this.call<ZoneOrderResult>("DELETE", `/v1/zones/${encodeURIComponent(this.zone)}`);
    }

    protected format({ zone, revision }: ZoneOrderResult): string {
        return `zone ${zone} is restored at revision ${revision}`;
    }
}
