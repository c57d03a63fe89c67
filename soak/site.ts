/** An entry of a round: its process, its links, and the faults of its way to the store. */
import { freePorts } from "../standin/free-ports.js";
import { noRowStoreFaults, type RowStoreFaults } from "../standin/site/rows.js";
import type { WirePlatform } from "../standin/wire/platform.js";
import { EntryProcess } from "./entry-process.js";
import { Link } from "./link.js";
import { portOf } from "./loopback.js";

/** One entry, its ways to others and the faults of its way to the store. */
export interface Site {
    readonly process: EntryProcess;
    readonly callerLink: Link;
    readonly peerLink: Link;
    readonly storeLink: Link;
    readonly storeFaults: RowStoreFaults;
}

/** Options of `createSite`. */
export interface SiteOptions {
    readonly name: string;
    readonly platform: WirePlatform;
    /** The built daemon. */
    readonly program: string;
    /** Name of the program's build; empty by default. */
    readonly build?: string;
    readonly folder: string;
    /** Called when the process ends otherwise than it should after it was asked to. */
    readonly onBadEnd: (text: string) => void;
    /** Called when the process ends without having been asked to. */
    readonly onOwnEnd: (text: string) => void;
}

/** Opens the links of an entry; its process is not started yet. */
export async function createSite(options: SiteOptions): Promise<Site> {
    const { platform, ...processOptions } = options;
    const [callers, readiness, metrics, peers] = await freePorts(4);
    const storeFaults = noRowStoreFaults();
    const storeLink = await Link.create(portOf(await platform.openStore(storeFaults)));
    const peerLink = await Link.create(peers!);
    const process = EntryProcess.create({
        ...processOptions,
        ports: { callers: callers!, readiness: readiness!, metrics: metrics!, peers: peers! },
        advertise: peerLink.address,
        store: storeLink.address,
        inventory: storeLink.address,
    });
    return { process, callerLink: await Link.create(callers!), peerLink, storeLink, storeFaults };
}
