/** An entry with the platform adapter, for tests against a stand-in platform over HTTP. */
import { createPlatformEntry } from "../platform/entry.js";
import { type Log, silentLog } from "../src/process/log.js";
import { Metrics } from "../src/process/metrics.js";
import { parseSiteSettings } from "../src/process/site-settings.js";
import { SystemTimer } from "../src/process/timer.js";
import { freePorts } from "../standin/free-ports.js";
import type { WirePlatform } from "../standin/wire/platform.js";

/** Creates an entry on a stand-in platform over HTTP, with settings that `changes` replaces. */
export async function createEntry(
    platform: WirePlatform,
    name: string,
    changes: Record<string, unknown> = {},
    log: Log = silentLog,
) {
    const ports = await freePorts(4);
    const [callers, readiness, metrics, listen] = ports.map(port => `127.0.0.1:${port}`);
    const registry = Metrics.create();
    const settings = parseSiteSettings(
        "test",
        JSON.stringify({
            entry: name,
            callers,
            readiness,
            metrics,
            peers: { listen, secret: "0123456789abcdef", seeds: [] },
            store: platform.address,
            inventory: platform.address,
            times: { balancerDelayMs: 10 },
            ...changes,
        }),
    );
    const entry = createPlatformEntry({
        settings,
        incarnation: `${name}#1`,
        timer: SystemTimer.create(),
        metrics: registry,
        log,
    });
    return { entry, registry, callerUrl: `http://${callers}`, metricsAddress: metrics!, peerPort: ports[3]! };
}

/** Polls a condition every 25 ms, at most 400 times; returns without an error when it never holds. */
export async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
    for (let i = 0; i < 400 && !await condition(); i++) {
        await new Promise(resolve => setTimeout(resolve, 25));
    }
}
