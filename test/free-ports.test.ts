import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createServer, type Server } from "node:net";
import { fileURLToPath } from "node:url";
import { expect, test } from "vitest";
import { listenAnywhere } from "../soak/loopback.js";
import { freePorts } from "../standin/free-ports.js";

const portCount = 200;
const listenerCount = 3000;

test("free ports are not taken by listeners that ask the system for a port, before they are used", async () => {
    const ports = new Set(await freePorts(portCount));
    expect(ports.size).toBe(portCount);
    const servers: Server[] = [];
    const taken: number[] = [];
    for (let i = 0; i < listenerCount; i++) {
        const server = createServer();
        servers.push(server);
        taken.push(await listenAnywhere(server));
    }
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    expect(taken.filter(port => ports.has(port))).toEqual([]);
});

test("free ports are not handed out again, here or in another process", async () => {
    const ports = [await freePorts(portCount), await freePorts(portCount)].flat();
    const file = fileURLToPath(new URL("../standin/free-ports.ts", import.meta.url));
    // The other processes live until all have theirs; the ports of one that has ended are free again.
    const source = `import { freePorts } from ${JSON.stringify(file)};
        console.log(JSON.stringify(await freePorts(${portCount})));
        process.stdin.resume();`;
    const children = Array.from(
        { length: 3 },
        () =>
            spawn(process.execPath, ["--import", "tsx", "--input-type=module", "--eval", source], {
                stdio: ["pipe", "pipe", "inherit"],
            }),
    );
    const others = await Promise.all(children.map(child => firstLineOf(child)));
    const ended = Promise.all(children.map(child => once(child, "exit")));
    children.forEach(child => child.stdin.end());
    const all = [...ports, ...others.flatMap(line => JSON.parse(line) as number[])];
    expect(all).toHaveLength(portCount * 5);
    expect(all.filter((port, i) => all.indexOf(port) !== i)).toEqual([]);
    await ended;
});

async function firstLineOf({ stdout }: ChildProcess): Promise<string> {
    let text = "";
    while (!text.includes("\n")) {
        text += String((await once(stdout!, "data"))[0]);
    }
    return text;
}
