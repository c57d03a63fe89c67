/** One TCP link on loopback that can be harmed: connections to its port go on to a target, unless a fault says otherwise. */
import { connect, createServer, type Server, type Socket } from "node:net";
import { host, listenAnywhere } from "./loopback.js";

/** What happens to the bytes of a link. */
export enum LinkMode {
    /** Everything arrives. */
    Open = "open",
    /** Everything arrives later. */
    Delayed = "delayed",
    /** Connections, also new ones, are reset. */
    Reset = "reset",
    /** Nothing arrives any more on the connections there are and on new ones; they stay open. */
    Silent = "silent",
    /** Requests arrive and answers do not. */
    OneWay = "one-way",
}

/** Delay of each chunk in either direction while a link is delayed, in milliseconds. */
const delayMs = 250;

/** Direction of one connection: whether its bytes are lost, and when the last chunk arrives. */
interface Direction {
    readonly from: Socket;
    readonly to: Socket;
    isLost: boolean;
    arrivesAt: number;
}

/** A link. */
export class Link {
    private mode = LinkMode.Open;
    private readonly requests = new Set<Direction>();
    private readonly answers = new Set<Direction>();

    private constructor(private readonly server: Server, readonly port: number) {}

    /** Opens a link to a port that may have no listener yet. */
    static async create(target: number): Promise<Link> {
        const server = createServer({ noDelay: true });
        const link = new Link(server, await listenAnywhere(server));
        server.on("connection", socket => link.join(socket, target));
        return link;
    }

    /** Host and port of the near end. */
    get address(): string {
        return `${host}:${this.port}`;
    }

    /** Harms the link or heals it; connections that went silent stay so, as they do in a real network. */
    set(mode: LinkMode): void {
        this.mode = mode;
        switch (mode) {
            case LinkMode.Open:
            case LinkMode.Delayed:
                return;
            case LinkMode.Reset:
                [...this.requests].forEach(({ from, to }) => reset(from, to));
                return;
            case LinkMode.Silent:
                lose(this.requests);
                lose(this.answers);
                return;
            case LinkMode.OneWay:
                lose(this.answers);
        }
    }

    /** Ends the link and its connections. */
    close(): void {
        this.server.close();
        [...this.requests].forEach(({ from, to }) => reset(from, to));
    }

    private join(near: Socket, target: number): void {
        if (this.mode === LinkMode.Reset) {
            near.on("error", ignore).resetAndDestroy();
            return;
        }
        const far = connect({ port: target, host, noDelay: true });
        this.carry(this.requests, near, far, this.mode === LinkMode.Silent);
        this.carry(
            this.answers,
            far,
            near,
            this.mode === LinkMode.Silent || this.mode === LinkMode.OneWay,
        );
    }

    private carry(all: Set<Direction>, from: Socket, to: Socket, isLost: boolean): void {
        const direction: Direction = { from, to, isLost, arrivesAt: 0 };
        all.add(direction);
        from.on("data", (chunk: Buffer) => this.forward(direction, () => to.write(chunk)));
        from.on("end", () => this.forward(direction, () => to.end()));
        // A reset of one half is the other one's too; the socket that fails is closed by its own "close".
        from.on("error", ignore);
        from.on("close", hadError => {
            all.delete(direction);
            this.forward(direction, () => hadError ? to.resetAndDestroy() : to.end());
        });
    }

    private forward(direction: Direction, act: () => void): void {
        if (direction.isLost) {
            return;
        }
        const now = performance.now();
        const arrivesAt = Math.max(
            direction.arrivesAt,
            this.mode === LinkMode.Delayed ? now + delayMs : now,
        );
        direction.arrivesAt = arrivesAt;
        const deliver = (): void => {
            if (!direction.isLost && !direction.to.destroyed) {
                act();
            }
        };
        if (arrivesAt <= now) {
            deliver();
        }
        else {
            setTimeout(deliver, arrivesAt - now);
        }
    }
}

function lose(directions: Iterable<Direction>): void {
    for (const direction of directions) {
        direction.isLost = true;
    }
}

function reset(...sockets: readonly Socket[]): void {
    sockets.forEach(socket => socket.resetAndDestroy());
}

/** Connections of a link break by design; their ends are seen as "close". */
function ignore(): void {}
