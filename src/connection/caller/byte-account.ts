/** Account of a number of bytes that changes. */

/** Where the bytes are accounted. */
export interface ByteAccountHost {
    /** Accounts bytes; false when there is no room for them. */
    hold(bytes: number): boolean;
    /** Accounts bytes that are held already, or no longer if negative. */
    adjust(bytes: number): void;
}

/** Bytes held for one purpose. */
export class ByteAccount {
    private count = 0;

    private constructor(private readonly host: ByteAccountHost) {}

    static create(host: ByteAccountHost): ByteAccount {
        return new ByteAccount(host);
    }

    get bytes(): number {
        return this.count;
    }

    /** Sets the number of bytes; false, with nothing changed, when there is no room for them. */
    set(bytes: number): boolean {
        const grown = bytes - this.count;
        if (grown > 0 && !this.host.hold(grown)) {
            return false;
        }
        if (grown < 0) {
            this.host.adjust(grown);
        }
        this.count = bytes;
        return true;
    }
}
