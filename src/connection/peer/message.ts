/** Messages on the links between entries, and their encoding with msgpackr. */
import { Packr } from "msgpackr";
import { z } from "zod";

/** Version of the peer protocol; both ends of a link must speak the same. */
export const protocolVersion = 1;

/** Kinds of frames on a peer link. */
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

/** A checked frame. */
export type Frame = z.output<typeof frameSchema>;

const packr = new Packr({ useRecords: false, moreTypes: false });

/** Encodes a frame. */
export function encodeFrame(value: Frame): Buffer {
    return packr.pack(value);
}

/** Size in bytes of a message with this topic and body on a link. */
export function notificationBytes(topic: string, body: unknown): number {
    return encodeFrame({ kind: FrameKind.Notification, topic, body }).length;
}

/** Decodes and checks a frame; undefined when it is malformed. */
export function decodeFrame(bytes: Buffer): Frame | undefined {
    try {
        const parsed = frameSchema.safeParse(packr.unpack(bytes));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
}
