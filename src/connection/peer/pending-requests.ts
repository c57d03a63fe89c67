/** Requests to a peer that await their responses. */
import { PeerError } from "../../process/errors.js";
import type { Cancel, Timer } from "../../process/timer.js";
import type { ReceiptMonitor } from "./receipt-monitor.js";

interface PendingRequest {
    readonly resolve: (body: unknown) => void;
    readonly reject: (err: Error) => void;
    cancelTimeout: Cancel;
}

/** Matches responses to requests by id. */
export class PendingRequests {
    private nextId = 1;
    private readonly requests = new Map<number, PendingRequest>();

    private constructor(private readonly timer: Timer, private readonly receipts: ReceiptMonitor) {}

    static create(timer: Timer, receipts: ReceiptMonitor): PendingRequests {
        return new PendingRequests(timer, receipts);
    }

    /** Reserves the id of a request. */
    reserveId(): number {
        return this.nextId++;
    }

    /**
     * Resolves with the response to a request that was sent, or rejects with a `PeerError` after the timeout in milliseconds.
     * A frame that has begun to arrive by then may be the response and is waited for as long as it arrives.
     */
    await(id: number, topic: string, timeoutMs: number): Promise<unknown> {
        return new Promise((resolve, reject) => {
            const request: PendingRequest = { resolve, reject, cancelTimeout: () => undefined };
            this.requests.set(id, request);
            const startTimeout = (sinceBytes: number): void => {
                request.cancelTimeout = this.timer.after(timeoutMs, () => {
                    if (this.receipts.isFrameArriving(sinceBytes)) {
                        startTimeout(this.receipts.bytesRead);
                    }
                    else {
                        this.fail(id, `peer did not respond to "${topic}" within ${timeoutMs} ms`);
                    }
                });
            };
            startTimeout(0);
        });
    }

    /** Settles a request with its response; one that is not pending is ignored. */
    settle(id: number, ok: boolean, body: unknown): void {
        if (ok) {
            this.take(id)?.resolve(body);
        }
        else {
            this.fail(id, String(body));
        }
    }

    /** Rejects all requests. */
    failAll(reason: string): void {
        [...this.requests.keys()].forEach(id => this.fail(id, reason));
    }

    private fail(id: number, reason: string): void {
        this.take(id)?.reject(new PeerError(reason, { props: { wasSent: true } }));
    }

    private take(id: number): PendingRequest | undefined {
        const request = this.requests.get(id);
        this.requests.delete(id);
        request?.cancelTimeout();
        return request;
    }
}
