/** Records when something was last received from a peer, be it only a part of a frame. */
import type { Socket } from "node:net";
import type { Timer } from "../../process/timer.js";

/** Receipts over one connection. */
export class ReceiptMonitor {
    private receivedAt: number;
    /** Bytes read from the connection when the last frame, ping or pong was complete. */
    private bytesAtLastFrame = 0;
    private bytesAtLastCheck = 0;

    private constructor(private readonly timer: Timer, private connection: Socket | undefined) {
        this.receivedAt = timer.now();
    }

    /** `connection` is undefined until it is established. */
    static create(timer: Timer, connection: Socket | undefined): ReceiptMonitor {
        return new ReceiptMonitor(timer, connection);
    }

    /** Monotonic time of the last receipt, in milliseconds. */
    get lastReceivedAt(): number {
        return this.receivedAt;
    }

    /** Bytes read from the connection. */
    get bytesRead(): number {
        return this.connection?.bytesRead ?? 0;
    }

    setConnection(connection: Socket): void {
        this.connection = connection;
    }

    /** Records that a frame, ping or pong is complete. */
    recordFrame(): void {
        this.receivedAt = this.timer.now();
        this.bytesAtLastFrame = this.bytesRead;
    }

    /** Records a receipt if a part of a frame has arrived since the last check. */
    checkPartialFrame(): void {
        if (this.isFrameArriving(this.bytesAtLastCheck)) {
            this.receivedAt = this.timer.now();
        }
        this.bytesAtLastCheck = this.bytesRead;
    }

    /** Whether a part of an incomplete frame has arrived since the connection had read `sinceBytes`. */
    isFrameArriving(sinceBytes: number): boolean {
        return this.bytesRead > Math.max(this.bytesAtLastFrame, sinceBytes);
    }
}
