/**
 * A TCP link on loopback that can be cut as a partition cuts it. What was sent before the cut, and did not get through, is held up: it
 * arrives when the cut heals, unless its sender has reset the channel. A channel that is opened during the cut carries nothing.
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import { localAddress } from "./site.js";

/** One channel: the side of the entry, that of the platform, and what is held up between them. */
interface Channel {
    readonly near: Socket;
    readonly far: Socket;
    held: Buffer[];
    wasReset: boolean;
    /** Whether it was opened during a cut. */
    readonly isBarred: boolean;
    hasEnded: boolean;
}

/** A link to one address of the platform. */
export class CutLink {
    private readonly channels = new Set<Channel>();
    private isCut = false;

    private constructor(
        private readonly server: Server,
        private readonly target: string,
        private readonly onRequest: (bytes: Buffer) => void,
    ) {}

    /** Opens a link; `onRequest` sees the bytes of the entry before they are passed on, and may cut the link. */
    static async create(target: string, onRequest: (bytes: Buffer) => void): Promise<CutLink> {
        const server = createServer({ noDelay: true });
        const link = new CutLink(server, target, onRequest);
        server.on("connection", socket => link.join(socket));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return link;
    }

    /** Address of the near end. */
    get address(): string {
        const address = this.server.address();
        return localAddress(typeof address === "object" ? address?.port ?? 0 : 0);
    }

    /** Cuts the link without a sign. */
    cut(): void {
        this.isCut = true;
    }

    /** Heals the link: what is held up arrives. */
    heal(): void {
        this.isCut = false;
        for (const channel of this.channels) {
            if (channel.isBarred) {
                channel.near.resetAndDestroy();
                channel.far.destroy();
                this.channels.delete(channel);
                continue;
            }
            if (!channel.wasReset) {
                channel.held.forEach(bytes => channel.far.write(bytes));
                if (channel.hasEnded) {
                    channel.far.end();
                }
            }
            channel.held = [];
        }
    }

    close(): void {
        this.server.close();
        this.channels.forEach(({ near, far }) => {
            near.destroy();
            far.destroy();
        });
    }

    private join(near: Socket): void {
        const [host, port] = this.target.split(":");
        const far = connect({ host, port: Number(port), noDelay: true });
        const channel: Channel = {
            near,
            far,
            held: [],
            wasReset: false,
            isBarred: this.isCut,
            hasEnded: false,
        };
        this.channels.add(channel);
        near.on("data", (bytes: Buffer) => {
            this.onRequest(bytes);
            if (this.isCut) {
                channel.held.push(bytes);
            }
            else {
                far.write(bytes);
            }
        });
        near.on("error", () => channel.wasReset = true);
        near.on("close", () => {
            channel.hasEnded = true;
            if (!this.isCut) {
                far.end();
            }
        });
        far.on("data", (bytes: Buffer) => {
            if (!this.isCut && !near.destroyed) {
                near.write(bytes);
            }
        });
        far.on("error", () => undefined);
        far.on("close", () => {
            this.channels.delete(channel);
            if (!this.isCut) {
                near.end();
            }
        });
    }
}
