/** Opens listening servers. */
import { once } from "node:events";
import type { Server } from "node:net";
import { ListenError, messageOf } from "../process/errors.js";

/** Where a server listens. */
export interface ListenOptions {
    readonly host: string;
    /** 0 lets the system pick a port. */
    readonly port: number;
    /** Name of the listener in the settings. */
    readonly name: string;
}

const causes: Readonly<Record<string, string>> = {
    EADDRINUSE: "something else listens there; end it",
    EADDRNOTAVAIL: "no network interface of this VM has the address; add it to one",
    EACCES: "this user may not use the port; permit it",
    ENOTFOUND: "the host name is unknown; make it resolve",
};
const otherCause = "the system refuses it; find out why";

/** Starts listening; rejects with a `ListenError` when the address cannot be bound. */
export async function listen(server: Server, { host, port, name }: ListenOptions): Promise<void> {
    try {
        server.listen(port, host);
        await once(server, "listening");
    }
    catch (err) {
        const { code = messageOf(err) } = err as NodeJS.ErrnoException;
        const cause = causes[code] ?? otherCause;
        throw new ListenError(
            `${name}: cannot listen on ${host}:${port} (${code}): ${cause}, or set another address for "${name}"`,
        );
    }
}
