/** Encoding of the lists that are sent to a peer: compressed if it can decompress them, since lists repeat themselves. */
import { constants, gunzipSync, gzipSync } from "node:zlib";

/** Request for the lists of a peer. Entries of earlier versions send one without fields. */
export interface ListsRequest {
    /** Whether the response may be compressed with gzip. */
    readonly acceptsGzip?: boolean;
}

/** Size from which compression is worth its processor time. */
const minCompressedBytes = 4096;
const maxTextBytes = 64 * 1024 * 1024;

/** Encodes the lists in force for peers, and keeps the compressed text until they change. */
export class ListsEncoder {
    private text = "";
    private compressed: Buffer | undefined;

    static create(): ListsEncoder {
        return new ListsEncoder();
    }

    /** The body of the response to a request for the lists whose text is `text`. */
    encode(text: string, { acceptsGzip = false }: ListsRequest): string | Buffer {
        if (!acceptsGzip || text.length < minCompressedBytes) {
            return text;
        }
        if (this.compressed === undefined || text !== this.text) {
            this.text = text;
            this.compressed = gzipSync(text, { level: constants.Z_BEST_SPEED });
        }
        return this.compressed;
    }
}

/** The text of the lists in a response; undefined when it is malformed. */
export function decodeListsResponse(body: unknown): string | undefined {
    if (!(body instanceof Uint8Array)) {
        return typeof body === "string" ? body : undefined;
    }
    try {
        return gunzipSync(body, { maxOutputLength: maxTextBytes }).toString();
    }
    catch {
        return undefined;
    }
}
