import { expect, test } from "vitest";
import { PlatformError } from "../src/process/errors.js";
import { EventId, Severity } from "../src/process/events.js";
import type { Log, LogFields } from "../src/process/log.js";
import { Metrics } from "../src/process/metrics.js";
import type { Peers } from "../src/process/peers.js";
import type { Store } from "../src/process/store.js";
import { VirtualTimer } from "../src/process/virtual-timer.js";
import { ConfigurationReplica } from "../src/version/configuration-replica.js";
import { createEmptyStoreClient } from "./builders.js";

interface Line {
    readonly severity: Severity;
    readonly event: EventId;
    readonly fields: LogFields;
}

/** A replica of the configuration whose store fails with `failure` while that is set. */
function createReplica() {
    const lines: Line[] = [];
    const log: Log = {
        write: (severity, event, fields = {}) => void lines.push({ severity, event, fields }),
    };
    const state: { failure?: Error | undefined } = {};
    const inner = createEmptyStoreClient();
    const store: Store = {
        perform: effect =>
            state.failure === undefined ? inner.perform(effect) : Promise.reject(state.failure),
    };
    const peers = {
        on: () => undefined,
        connected: () => [],
        broadcast: () => undefined,
    } as unknown as Peers;
    const replica = ConfigurationReplica.create({
        store,
        peers,
        log,
        timer: VirtualTimer.create(),
        metrics: Metrics.create(),
        publish: () => undefined,
    });
    return { replica, lines, state };
}

test("polls of the lists that the store does not answer are logged once for a series", async () => {
    const { replica, lines, state } = createReplica();
    state.failure = new PlatformError("platform did not answer");
    await replica.poll();
    await replica.poll();
    state.failure = undefined;
    await replica.poll();
    await replica.poll();
    expect(lines.map(({ event }) => event)).toEqual([EventId.StoreUnavailable, EventId.StoreRecovered]);
    expect(lines[1]!.fields["failures"]).toBe(2);
});

test("a defect in a poll of the lists is not taken for an absent store", async () => {
    const { replica, lines, state } = createReplica();
    state.failure = new TypeError("cannot read properties of undefined");
    await replica.poll();
    await replica.poll();
    expect(lines.map(({ severity, event }) => [severity, event])).toEqual([[
        Severity.Error,
        EventId.TaskFailed,
    ]]);
});
