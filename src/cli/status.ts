/** `celerywind status`: shows the state of one entry and its view of the fleet. */
import { Command } from "clipanion";
import type { Status } from "../operator/status.js";
import { formatTable, OperatorCommand } from "./operator.js";

/** Prints the status of the entry at --url. */
export class StatusCommand extends OperatorCommand {
    static override paths = [["status"]];
    static override usage = Command.Usage({
        description: "show the state of an entry and its view of the fleet",
        examples: [
            ["Query the entry on this machine", "celerywind status"],
            ["Query another entry", "celerywind status --url http://10.0.0.6:7100"],
        ],
    });

    protected perform(): Promise<Status> {
        return this.call<Status>("GET", "/v1/status");
    }

    protected format(status: Status): string {
        const teams = status.teams.map((
            { team, plan, limit, grantHere, runningHere },
        ) => [team, plan, limit, grantHere, runningHere]);
        const pools = status.pools.map((
            { pool, vms, available, budget, permits },
        ) => [pool, vms, available, budget, permits]);
        return [
            `entry ${status.incarnation ?? status.vm}: ${
                status.ready ? "ready" : `not ready (${status.reason})`
            }`,
            `revision ${status.revision} (lists ${status.listsRevision}), `
            + `${status.pendingWithdrawals} withdrawals not yet stored`,
            `entries ${status.entries.length}, linked peers ${status.peers.length}`,
            `requests ${status.activeRequests}, jobs ${status.runningJobs}`,
            ...status.evacuatedZones === undefined
                ? []
                : [`evacuated zones: ${status.evacuatedZones.join(", ") || "none"}`],
            "",
            formatTable([["TEAM", "PLAN", "LIMIT", "GRANT HERE", "RUNNING HERE"], ...teams]),
            "",
            formatTable([["POOL", "VMS", "AVAILABLE", "BUDGET", "PERMITS"], ...pools]),
        ].join("\n");
    }
}
