/** Size of messages between virtual entries, encoded as on a real link. */
import { encodeFrame } from "../../src/connection/peer/message.js";
import { FrameKind } from "../../src/connection/peer/message.js";

/** A message that can be encoded. */
export interface Packable {
    readonly topic: string;
    readonly body: unknown;
}

/** The bytes of a message. */
export function encode({ topic, body }: Packable): Buffer {
    return encodeFrame({ kind: FrameKind.Notice, topic, body });
}
