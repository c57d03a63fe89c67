/** What entries tell each other about the owner of a domain: heartbeats, news of a new owner, and the end of tenures. */
import { z } from "zod";
import { counterSchema } from "../process/bounds.js";
import type { Peers } from "../process/peers.js";
import type { Owner } from "./ownership.js";

/** Topics of peer messages about the ownership of a domain. */
export enum OwnerTopic {
    Heartbeat = "owner.beacon",
    News = "owner.news",
    Silence = "owner.heard",
    Released = "owner.released",
    SteppedDown = "owner.stepped-down",
}

const heartbeatSchema = z.object({
    fence: counterSchema,
    incarnation: z.string(),
    /** Milliseconds since the owner last reached the store; not a finite number before the first time. */
    storeAgeMs: z.union([z.number(), z.literal(Infinity)]),
});

const newsSchema = z.object({
    owner: z.object({ entry: z.string().min(1), incarnation: z.string(), fence: counterSchema }),
    /** URL at which the owner's peers reach it; empty if unknown. */
    url: z.string(),
});

const endSchema = z.object({ fence: counterSchema });

/** The owner's sign of life. */
export type Heartbeat = z.output<typeof heartbeatSchema>;

/** News of an owner, which entries pass on to their peers until every entry has it. */
export type OwnerNews = z.output<typeof newsSchema>;

/** Decodes a heartbeat; throws if it is malformed, which the peer links log. */
export function decodeHeartbeat(body: unknown): Heartbeat {
    return heartbeatSchema.parse(body);
}

/** Decodes news of an owner; throws if it is malformed, which the peer links log. */
export function decodeNews(body: unknown): OwnerNews {
    return newsSchema.parse(body);
}

/** Decodes the fence of a tenure that has ended; throws if the message is malformed, which the peer links log. */
export function decodeEndedFence(body: unknown): number {
    return endSchema.parse(body).fence;
}

/** Every how manieth heartbeat goes to all entries; the others go to the successors alone. */
const slowHeartbeatFactor = 3;
/** Most ended tenures that are remembered; the oldest are forgotten. */
export const maxEndedFences = 100;

/** Sends an entry's messages about the ownership of a domain. */
export class OwnerMessenger {
    private heartbeatsSent = 0;
    /** Fences of tenures of this process that have ended, so that a later owner learns that they send no more orders. */
    private readonly ownEndedFences = new Set<number>();

    private constructor(private readonly peers: Peers) {}

    static create(peers: Peers): OwnerMessenger {
        return new OwnerMessenger(peers);
    }

    /** Makes the next heartbeat go to all entries; called when a tenure begins. */
    restartHeartbeats(): void {
        this.heartbeatsSent = 0;
    }

    /** Sends the owner's heartbeat to the successors, and every few times to all entries. */
    sendHeartbeat(heartbeat: Heartbeat, successors: readonly string[]): void {
        if (this.heartbeatsSent++ % slowHeartbeatFactor === 0) {
            this.peers.broadcast(OwnerTopic.Heartbeat, heartbeat);
        }
        else {
            successors.forEach(entry => this.peers.notify(entry, OwnerTopic.Heartbeat, heartbeat));
        }
    }

    /** Tells the peers, and later owners, that a tenure of this process has ended and sends no more orders. */
    announceEnd(topic: OwnerTopic.Released | OwnerTopic.SteppedDown, fence: number): void {
        this.ownEndedFences.add(fence);
        if (this.ownEndedFences.size > maxEndedFences) {
            this.ownEndedFences.delete(Math.min(...this.ownEndedFences));
        }
        this.peers.broadcast(topic, { fence });
    }

    /** Tells an owner that is heard for the first time which tenures of this process have ended. */
    reportOwnEnds(owner: string): void {
        for (const fence of this.ownEndedFences) {
            this.peers.notify(owner, OwnerTopic.SteppedDown, { fence });
        }
    }

    /** Passes news of an owner on to the peers. */
    passOn({ entry, incarnation, fence }: Owner, url: string): void {
        const news: OwnerNews = { owner: { entry, incarnation, fence }, url };
        this.peers.broadcast(OwnerTopic.News, news);
    }
}
