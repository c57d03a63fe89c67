/** A buffer that grows with what is appended to it. */

/** Options of `GrowingBuffer.create`. */
export interface GrowingBufferOptions {
    /** Largest size, in bytes. */
    readonly maxBytes: number;
    /** Size expected in the end, in bytes; undefined if it is not known. */
    readonly expectedBytes?: number | undefined;
}

/** First allocation, in bytes. Most bodies are smaller. */
const firstBytes = 4096;

/**
 * Bytes appended one after the other, copied into one allocation that doubles when it is full. A list of the appended
 * chunks would cost some hundred bytes for each of them, however small it is.
 */
export class GrowingBuffer {
    private bytes = Buffer.alloc(0);
    private used = 0;

    private constructor(private readonly options: GrowingBufferOptions) {}

    static create(options: GrowingBufferOptions): GrowingBuffer {
        return new GrowingBuffer(options);
    }

    /** Number of bytes appended so far. */
    get length(): number {
        return this.used;
    }

    /** Number of bytes allocated. */
    get capacity(): number {
        return this.bytes.length;
    }

    /** Number of bytes that would be allocated after `count` more were appended. */
    capacityFor(count: number): number {
        const { maxBytes, expectedBytes = maxBytes } = this.options;
        const needed = this.used + count;
        return needed <= this.capacity
            ? this.capacity
            : Math.max(needed, Math.min(expectedBytes, maxBytes, Math.max(firstBytes, 2 * this.capacity)));
    }

    /** Appends a copy of `chunk`. Throws a `RangeError` when the buffer would exceed its largest size. */
    append(chunk: Uint8Array): void {
        if (this.used + chunk.length > this.options.maxBytes) {
            throw new RangeError(`more than ${this.options.maxBytes} bytes were appended`);
        }
        const capacity = this.capacityFor(chunk.length);
        if (capacity > this.capacity) {
            const grown = Buffer.allocUnsafeSlow(capacity);
            grown.set(this.bytes.subarray(0, this.used));
            this.bytes = grown;
        }
        this.bytes.set(chunk, this.used);
        this.used += chunk.length;
    }

    /** The appended bytes, without a copy; valid until the next call of `append`. */
    contents(): Buffer {
        return this.bytes.subarray(0, this.used);
    }
}
