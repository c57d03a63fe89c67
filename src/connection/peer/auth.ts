/** Mutual authentication of peer links by HMAC. The shared secret itself is never sent. */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

/** Role of an end of a link. It is part of the proof, so a proof cannot be reflected to the end that sent it. */
export enum LinkRole {
    Dialer = "dialing",
    Acceptor = "accepting",
}

/** Incarnations and nonces exchanged in a handshake, which the proofs authenticate. */
export interface HandshakeTranscript {
    readonly dialer: string;
    readonly acceptor: string;
    readonly dialerNonce: string;
    readonly acceptorNonce: string;
}

const nonceBytes = 16;

/** Creates a random nonce in hexadecimal. */
export function createNonce(): string {
    return randomBytes(nonceBytes).toString("hex");
}

/** HMAC-SHA256 over the role and the transcript, in hexadecimal; proves possession of the secret. */
export function computeProof(secret: string, role: LinkRole, transcript: HandshakeTranscript): string {
    const { dialer, acceptor, dialerNonce, acceptorNonce } = transcript;
    const text = JSON.stringify([role, dialer, acceptor, dialerNonce, acceptorNonce]);
    return createHmac("sha256", secret).update(text).digest("hex");
}

/** Compares two proofs in constant time. */
export function isSameProof(a: string, b: string): boolean {
    const left = Buffer.from(a);
    const right = Buffer.from(b);
    return left.length === right.length && timingSafeEqual(left, right);
}
