/** Ports on loopback. */
import type { AddressInfo, Server } from "node:net";

/** The only host that the soak uses. */
export const host = "127.0.0.1";

/** Listens on a port that the system picks, and returns it. */
export async function listenAnywhere(server: Server): Promise<number> {
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    return (server.address() as AddressInfo).port;
}

/** Port of an address on the loopback host. */
export function portOf(address: string): number {
    return Number(address.slice(`${host}:`.length));
}
