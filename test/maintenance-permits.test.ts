/** Orders for VMs under maintenance at the end of their permits. */
import { expect, test } from "vitest";
import { runMaintenanceRound, VmEffectKind } from "../src/process/maintenance.js";
import { emptyMemberView } from "../src/process/members.js";
import { type Permit, PermitPhase, type PoolRow, poolRowKey } from "../src/process/pool-rows.js";
import { StoreEffectKind } from "../src/process/store.js";
import { vm } from "./builders.js";

const permitOf = (id: string): Permit => ({
    id: `permit-${id}`,
    vm: id,
    rack: "r",
    bootId: vm(id).bootId,
    phase: PermitPhase.Draining,
    takenAt: 0,
});

test("a VM whose permit another entry released while peers were asked about another VM is not drained", () => {
    let stored: PoolRow = { permits: { a: permitOf("a"), b: permitOf("b") } };
    const round = runMaintenanceRound({
        pool: "p",
        view: {
            members: emptyMemberView,
            vms: [vm("a", { pool: "p" }), vm("b", { pool: "p" })],
            pools: [{ name: "p", workers: 2 }] as never,
            poolRows: new Map([["p", stored]]),
            vmRows: new Map(),
        },
        now: 1000,
        maxUptimeMs: Infinity,
        createPermitId: () => "next",
    });
    const drained: string[] = [];
    let answer: unknown;
    for (let step = round.next(); step.done !== true; step = round.next(answer)) {
        const effect = step.value;
        answer = undefined;
        if (effect.kind === StoreEffectKind.Get) {
            answer = { key: poolRowKey("p"), version: 1, value: stored };
        }
        else if (effect.kind === VmEffectKind.Drain) {
            drained.push(effect.vm);
        }
        else if (effect.kind === VmEffectKind.IsDrained) {
            // Peers take up to a second to answer.
            stored = { permits: { a: permitOf("a") } };
            answer = false;
        }
        else {
            throw new Error(`unexpected effect ${effect.kind}`);
        }
    }
    expect(drained).toEqual(["a"]);
});
