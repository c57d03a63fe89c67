/** A buffer that grows with what is appended to it, block by block. */
import { BlockPool } from "./block-pool.js";

/** Options of `GrowingBuffer.create`. */
export interface GrowingBufferOptions {
    /** Largest size, in bytes. */
    readonly maxBytes: number;
    /** Size expected in the end, in bytes; undefined if it is not known. */
    readonly expectedBytes?: number | undefined;
}

/** Size of the first block, in bytes. Most bodies are smaller. */
const firstBlockBytes = 4096;
const largestBlockBytes = 64 * 1024;
const pool = BlockPool.create();

/**
 * Bytes appended one after the other, copied into blocks. A list of the appended chunks would cost some hundred bytes for
 * each of them, however small it is; one allocation that grows would leave its smaller predecessors to the collector.
 */
export class GrowingBuffer {
    private readonly blocks: Buffer[] = [];
    /** Free bytes of the last block. */
    private free: Buffer = Buffer.alloc(0);
    private used = 0;
    private allocated = 0;

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
        return this.allocated;
    }

    /** Number of bytes that would be allocated after `count` more were appended. */
    capacityFor(count: number): number {
        return count <= this.free.length ? this.allocated : this.allocated + this.nextBlockBytes(count);
    }

    /** Appends a copy of `chunk`. Throws a `RangeError` when the buffer would exceed its largest size. */
    append(chunk: Uint8Array): void {
        if (this.used + chunk.length > this.options.maxBytes) {
            throw new RangeError(`more than ${this.options.maxBytes} bytes were appended`);
        }
        const head = chunk.subarray(0, this.free.length);
        this.fill(head);
        if (head.length < chunk.length) {
            const block = pool.take(this.nextBlockBytes(chunk.length - head.length));
            this.blocks.push(block);
            this.allocated += block.length;
            this.free = block;
            this.fill(chunk.subarray(head.length));
        }
    }

    /** The appended bytes, which are the caller's from now on; the buffer must not be used any more. */
    take(): Buffer {
        const [first = Buffer.alloc(0)] = this.blocks;
        if (this.blocks.length <= 1) {
            return first.subarray(0, this.used);
        }
        const bytes = Buffer.concat(this.blocks, this.used);
        this.release();
        return bytes;
    }

    /** Gives the memory back; the buffer must not be used any more. */
    release(): void {
        this.blocks.splice(0).forEach(block => pool.give(block));
        this.free = Buffer.alloc(0);
    }

    /** Size of the block that is needed to append `count` bytes, of which the last block takes what it can. */
    private nextBlockBytes(count: number): number {
        const { maxBytes, expectedBytes = maxBytes } = this.options;
        const missing = count - this.free.length;
        const wanted = Math.max(firstBlockBytes, Math.min(largestBlockBytes, this.allocated));
        const expected = Math.min(expectedBytes, maxBytes) - this.allocated;
        return Math.max(missing, Math.min(wanted, expected));
    }

    private fill(bytes: Uint8Array): void {
        this.free.set(bytes);
        this.free = this.free.subarray(bytes.length);
        this.used += bytes.length;
    }
}
