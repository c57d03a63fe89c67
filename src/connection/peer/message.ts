/** Frames of the peer protocol, and their encoding with MessagePack. */
import { Packr } from "msgpackr";
import { z } from "zod";

/** Version of the peer protocol. A link is rejected when its ends use different versions. */
export const protocolVersion = 1;

/** Kind of a frame on a peer link; the number is sent. */
export enum FrameKind {
    Hello = 1,
    Challenge = 2,
    Proof = 3,
    Notification = 4,
    Request = 5,
    Response = 6,
}

const helloSchema = z.object({
    kind: z.literal(FrameKind.Hello),
    protocol: z.number(),
    vm: z.string().max(200),
    incarnation: z.string().max(220),
    nonce: z.string().max(64),
});

const challengeSchema = z.object({
    kind: z.literal(FrameKind.Challenge),
    vm: z.string().max(200),
    incarnation: z.string().max(220),
    nonce: z.string().max(64),
    mac: z.string().max(128),
});

const proofSchema = z.object({ kind: z.literal(FrameKind.Proof), mac: z.string().max(128) });

const notificationSchema = z.object({
    kind: z.literal(FrameKind.Notification),
    topic: z.string().max(64),
    body: z.unknown(),
});

const requestSchema = z.object({
    kind: z.literal(FrameKind.Request),
    id: z.number(),
    topic: z.string().max(64),
    body: z.unknown(),
});

const responseSchema = z.object({
    kind: z.literal(FrameKind.Response),
    id: z.number(),
    ok: z.boolean(),
    body: z.unknown(),
});

const frameSchema = z.discriminatedUnion("kind", [
    helloSchema,
    challengeSchema,
    proofSchema,
    notificationSchema,
    requestSchema,
    responseSchema,
]);

/** A frame that conforms to the schema. */
export type Frame = z.output<typeof frameSchema>;

const packr = new Packr({ useRecords: false, moreTypes: false });

export function encodeFrame(frame: Frame): Buffer {
    return packr.pack(frame);
}

/** Encodes a notification, once for all peers that it is sent to. */
export function encodeNotification(topic: string, body: unknown): Buffer {
    return encodeFrame({ kind: FrameKind.Notification, topic, body });
}

/** Encoded size of a notification, in bytes. */
export function notificationBytes(topic: string, body: unknown): number {
    return encodeNotification(topic, body).length;
}

/** Decodes and validates a frame; undefined when it is malformed. */
export function decodeFrame(bytes: Buffer): Frame | undefined {
    try {
        const parsed = frameSchema.safeParse(packr.unpack(bytes));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
}
