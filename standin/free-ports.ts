/**
 * Free ports on 127.0.0.1 that stay free until they are used. They come from below the range in which Linux picks ports
 * by itself, so that no listener on port 0 and no outgoing connection can take one. Each process claims a block of them
 * by listening on its first port, and hands out each of the others once.
 */
import { createServer, type Server } from "node:net";

const host = "127.0.0.1";
const firstPort = 20_000;
/** Linux picks ports from 32,768 by default. */
const endPort = 32_768;
const portsPerBlock = 64;
const blockCount = Math.floor((endPort - firstPort) / portsPerBlock);

/** Hands out ports of one block after the other. */
class PortSource {
    private next = 0;
    private end = 0;
    /** Held until the process ends; a claim that was given up would let another process hand out the same ports. */
    private readonly claims: Server[] = [];
    private queue: Promise<unknown> = Promise.resolve();

    /** Takes the next free ports; calls wait for each other. */
    take(count: number): Promise<readonly number[]> {
        const taken = this.queue.then(async () => {
            const ports: number[] = [];
            while (ports.length < count) {
                ports.push(await this.takeOne());
            }
            return ports;
        });
        this.queue = taken.catch(() => undefined);
        return taken;
    }

    private async takeOne(): Promise<number> {
        for (;;) {
            if (this.next === this.end) {
                await this.claimBlock();
            }
            const port = this.next++;
            if (await isFree(port)) {
                return port;
            }
        }
    }

    private async claimBlock(): Promise<void> {
        for (let i = 0; i < blockCount; i++) {
            const start = firstPort + (process.pid + i) % blockCount * portsPerBlock;
            const claim = await tryListen(start);
            if (claim !== undefined) {
                this.claims.push(claim.unref());
                this.next = start + 1;
                this.end = start + portsPerBlock;
                return;
            }
        }
        throw new Error(`no free ports from ${firstPort} to ${endPort - 1}; end programs that listen there`);
    }
}

const source = new PortSource();

/** Takes free ports of 127.0.0.1; no other caller, here or in another process, gets the same ones. */
export function freePorts(count: number): Promise<readonly number[]> {
    return source.take(count);
}

async function isFree(port: number): Promise<boolean> {
    const server = await tryListen(port);
    await new Promise<void>(resolve => server === undefined ? resolve() : server.close(() => resolve()));
    return server !== undefined;
}

/** Listens on a port; undefined when it is taken. */
function tryListen(port: number): Promise<Server | undefined> {
    const server = createServer(socket => socket.destroy());
    return new Promise(resolve => {
        server.once("error", () => resolve(undefined));
        server.listen(port, host, () => resolve(server));
    });
}
