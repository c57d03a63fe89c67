/** Mutual authentication of peer links with a shared secret that never crosses the link. */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

/** Which end of the link a proof is for; the two ends never send the same proof. */
export enum LinkRole {
    Dialer = "dialing",
    Acceptor = "accepting",
}

/** Nonces and identities that both ends of a handshake know. */
export interface HandshakeTranscript {
    readonly dialer: string;
    readonly acceptor: string;
    readonly dialerNonce: string;
    readonly acceptorNonce: string;
}

const nonceBytes = 16;

/** A fresh nonce. */
export function createNonce(): string {
    return randomBytes(nonceBytes).toString("hex");
}

/** The proof by which one end shows that it knows the secret. */
export function computeProof(secret: string, end: LinkRole, transcript: HandshakeTranscript): string {
    const { dialer, acceptor, dialerNonce, acceptorNonce } = transcript;
    const text = JSON.stringify([end, dialer, acceptor, dialerNonce, acceptorNonce]);
    return createHmac("sha256", secret).update(text).digest("hex");
}

/** Compares two proofs in constant time. */
export function isSameProof(a: string, b: string): boolean {
    const left = Buffer.from(a);
    const right = Buffer.from(b);
    return left.length === right.length && timingSafeEqual(left, right);
}
