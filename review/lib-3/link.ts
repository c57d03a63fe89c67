/** A TCP proxy. While it is cut, it holds what arrives; what a side has reset by then is lost. */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** Options of `Link.open`. */
export interface LinkOptions {
    /** Address to listen on. */
    readonly host: string;
    readonly target: string;
    /** Called with the bytes that a client sends, before they are forwarded. */
    readonly onData?: (data: Buffer) => void;
    /** Whether a connection from a port of its client to one of the proxy is cut by itself. */
    readonly isCutFor?: (clientPort: number, proxyPort: number) => boolean;
}

interface Pair {
    readonly client: Socket;
    readonly server: Socket;
    readonly isCutAlone: () => boolean;
    readonly held: (() => void)[];
}

/** A proxy in front of one server. */
export class Link {
    private readonly pairs = new Set<Pair>();
    private isCut = false;

    private constructor(private readonly options: LinkOptions, private readonly server: Server) {}

    static async open(options: LinkOptions): Promise<Link> {
        const server = createServer();
        const link = new Link(options, server);
        server.on("connection", socket => link.accept(socket));
        await new Promise<void>(resolve => server.listen(0, options.host, resolve));
        return link;
    }

    /** Address of the proxy, as `host:port`. */
    get address(): string {
        const { address, port } = this.server.address() as AddressInfo;
        return `${address}:${port}`;
    }

    /** Holds all that arrives from now on. */
    cut(): void {
        this.isCut = true;
    }

    /** Forwards what was held on connections that are still open. */
    heal(): void {
        this.isCut = false;
        this.release();
    }

    /** Forwards what was held on connections that are not cut any more. */
    release(): void {
        for (const pair of this.pairs) {
            if (!this.holds(pair)) {
                pair.held.splice(0).forEach(forward => forward());
            }
        }
    }

    close(): void {
        this.server.close();
        for (const { client, server } of this.pairs) {
            client.destroy();
            server.destroy();
        }
    }

    private holds(pair: Pair): boolean {
        return this.isCut || pair.isCutAlone();
    }

    private accept(client: Socket): void {
        const { target, onData, isCutFor } = this.options;
        const [host, port] = target.split(":");
        const server = connect({ host: host!, port: Number(port) });
        const { remotePort: clientPort = 0, localPort = 0 } = client;
        const pair: Pair = {
            client,
            server,
            isCutAlone: () => isCutFor?.(clientPort, localPort) === true,
            held: [],
        };
        this.pairs.add(pair);
        client.setNoDelay(true);
        server.setNoDelay(true);
        client.on("data", (data: Buffer) => {
            onData?.(data);
            this.forward(pair, () => server.write(data));
        });
        server.on("data", (data: Buffer) => this.forward(pair, () => client.write(data)));
        const end = (other: Socket) => (): void => {
            // A side that is gone takes what is held with it; the other side learns of it when the cut is over.
            pair.held.length = 0;
            this.forward(pair, () => {
                other.destroy();
                this.pairs.delete(pair);
            });
        };
        client.on("close", end(server));
        server.on("close", end(client));
        client.on("error", () => client.destroy());
        server.on("error", () => server.destroy());
    }

    private forward(pair: Pair, action: () => void): void {
        if (this.holds(pair)) {
            pair.held.push(action);
        }
        else {
            action();
        }
    }
}
