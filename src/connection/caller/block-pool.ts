/** Blocks of memory that are used again. */

/** Largest sum of blocks that are kept for use, in bytes. */
const maxKeptBytes = 4 * 1024 * 1024;

/**
 * Pool of blocks, by their size. Memory outside the heap that outlived two minor collections is only freed by a full one,
 * which V8 begins when 64 MB of it have gathered, so that bodies which are refused one after the other would fill that.
 */
export class BlockPool {
    private readonly blocks = new Map<number, Buffer[]>();
    private keptBytes = 0;

    static create(): BlockPool {
        return new BlockPool();
    }

    /** A block of `bytes` bytes with any content. */
    take(bytes: number): Buffer {
        const block = this.blocks.get(bytes)?.pop();
        if (block === undefined) {
            return Buffer.allocUnsafeSlow(bytes);
        }
        this.keptBytes -= bytes;
        return block;
    }

    /** Returns a block that nothing uses any more. */
    give(block: Buffer): void {
        if (this.keptBytes + block.length > maxKeptBytes) {
            return;
        }
        this.keptBytes += block.length;
        const blocks = this.blocks.get(block.length);
        if (blocks === undefined) {
            this.blocks.set(block.length, [block]);
        }
        else {
            blocks.push(block);
        }
    }
}
