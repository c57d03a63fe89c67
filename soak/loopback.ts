/** Ports on loopback. */
import { type AddressInfo, createServer, type Server } from "node:net";

/** The only host that the soak uses. */
export const host = "127.0.0.1";

/** Listens on a port that the system picks, and returns it. */
export async function listenAnywhere(server: Server): Promise<number> {
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    return (server.address() as AddressInfo).port;
}

/** Ports that were free a moment ago and differ from each other. */
export async function freePorts(count: number): Promise<readonly number[]> {
    const servers = Array.from({ length: count }, () => createServer());
    const ports = await Promise.all(servers.map(listenAnywhere));
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

/** Port of an address on the loopback host. */
export function portOf(address: string): number {
    return Number(address.slice(`${host}:`.length));
}
