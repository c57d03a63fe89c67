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
    Notice = 4,
    Ask = 5,
    Reply = 6,
}

const hello = z.object({
    kind: z.literal(FrameKind.Hello),
    protocol: z.number(),
    vm: z.string().max(200),
    incarnation: z.string().max(220),
    nonce: z.string().max(64),
});

const challenge = z.object({
    kind: z.literal(FrameKind.Challenge),
    vm: z.string().max(200),
    incarnation: z.string().max(220),
    nonce: z.string().max(64),
    mac: z.string().max(128),
});

const proof = z.object({ kind: z.literal(FrameKind.Proof), mac: z.string().max(128) });

const notice = z.object({ kind: z.literal(FrameKind.Notice), topic: z.string().max(64), body: z.unknown() });

const ask = z.object({
    kind: z.literal(FrameKind.Ask),
    id: z.number(),
    topic: z.string().max(64),
    body: z.unknown(),
});

const reply = z.object({
    kind: z.literal(FrameKind.Reply),
    id: z.number(),
    ok: z.boolean(),
    body: z.unknown(),
});

const frame = z.discriminatedUnion("kind", [hello, challenge, proof, notice, ask, reply]);

/** A checked frame. */
export type Frame = z.output<typeof frame>;

const packr = new Packr({ useRecords: false, moreTypes: false });

/** Encodes a frame. */
export function encodeFrame(value: Frame): Buffer {
    return packr.pack(value);
}

/** Size in bytes of a message with this topic and body on a link. */
export function noticeBytes(topic: string, body: unknown): number {
    return encodeFrame({ kind: FrameKind.Notice, topic, body }).length;
}

/** Decodes and checks a frame; undefined when it is malformed. */
export function decodeFrame(bytes: Buffer): Frame | undefined {
    try {
        const parsed = frame.safeParse(packr.unpack(bytes));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
}
