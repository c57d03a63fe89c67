/**
 * A small deployment on loopback: the daemon as several processes, started with the command and the settings of the deploy
 * folder, beside stand-ins of the store, the machines' inventory, the workers, the operator and the clients.
 */
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { call, closeClient, delay, freePorts, host, serve } from "./http.es6";
import { Store } from "./store.es6";
import { Worker } from "./worker.es6";

export { delay };

/** Folder of the case, as `run.sh` names it, and the repository. */
const folder = process.argv[2];
const root = join(folder, "../..");

const heartbeatMs = 1500;
const pings = 3;
const moveMs = 1500;
const upkeepMs = 2000;
const bounds = {
    "hold-max-ms": 6000,
    "stop-ms": 200,
    "lease-ms": 3000,
    "notice-ms": 4500,
    "move-s": 1.5,
    "upkeep-s": 2,
    "grace-s": 6,
};

/** Fills in a settings template with the fields of a process. Knows what `deploy/settings.jsonc` uses. */
export function render(template, fields) {
    const find = (path, from) => path.split(".").reduce((value, name) => value?.[name], from);
    const sections = template.replace(/\{\{#([^}]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_, path, inner) => {
        const list = find(path, fields) ?? [];
        return list.map((item, at) =>
            inner.replace(/\{\{\.\|json\}\}/g, JSON.stringify(item)).replace(/\{\{,\}\}/g, at < list.length - 1 ? "," : "")
        ).join("");
    });
    return sections.replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_, path, isJson) => {
        const value = find(path, fields);
        return isJson ? JSON.stringify(value ?? null) : String(value ?? "");
    });
}

/** Program and arguments of the entry's role in the deploy file. */
function runCommand() {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const [, run] = /^run = "([^"]+)"$/m.exec(text);
    const [program, ...args] = run.split(" ");
    return { program: program === "node" ? process.execPath : program, args };
}

/** The placement adviser: it knows which machines a queue's policy allows, and gives tickets for them. */
class Adviser {
    tickets = new Map();
    turn = Promise.resolve();

    constructor({ decideMs, eachMs, validMs, allows }, site) {
        Object.assign(this, { decideMs, eachMs, validMs, allows, site });
    }

    settings() {
        return { "decide-ms": this.decideMs, "each-ms": this.eachMs, "valid-ms": this.validMs };
    }

    async start() {
        this.server = await serve({ "POST /v1/advise": ({ body }) => this.advise(body) });
        this.address = this.server.address;
    }

    /** Handles one call after the other. */
    advise({ step, workers }) {
        const answer = this.turn.then(async () => {
            await delay(this.decideMs + this.eachMs * workers.length);
            const good = this.site.machines
                .filter(({ id, worker }) => workers.includes(worker.id) && worker.isAlive && this.allows(id))
                .map(({ worker }) => [worker.id, this.issue(step, worker)]);
            this.site.note(`adviser: ${step}: ${workers.length} workers named, ${good.length} good`);
            return [200, { good, "valid-ms": this.validMs }];
        });
        this.turn = answer.catch(() => undefined);
        return answer;
    }

    issue(step, worker) {
        const ticket = `t-${(this.tickets.size + 1).toString(16).padStart(8, "0")}`;
        this.tickets.set(ticket, { step, worker, until: performance.now() + this.validMs });
        return ticket;
    }

    checkTicketOf(task) {
        const step = task.split(".").slice(0, 3).join(".");
        return {
            checkTicket: (ticket, worker) => {
                const known = this.tickets.get(ticket);
                return known !== undefined && known.step === step && known.worker === worker && performance.now() <= known.until;
            },
        };
    }
}

export class Site {
    store = new Store();
    machines = [];
    entries = [];
    lines = [];
    startedAt = performance.now();
    tasks = new Map();
    steps = new Map();
    waves = new Map();
    lastHolder = "";
    configVersion = 0;
    isEnding = false;

    constructor({ pools, tenants, entries = 3, advice }) {
        Object.assign(this, { recordFile: join(folder, "record.txt"), pools, tenants, entryCount: entries });
        this.adviser = advice === undefined ? undefined : new Adviser(advice, this);
        this.temp = mkdtempSync(join(tmpdir(), "review-"));
        const needsOf = task => this.needsOf(task);
        needsOf.onStart = (run, worker) => this.noteRun(run, worker);
        needsOf.onEnd = (run, how) => this.noteEnd(run, how);
        this.needsOfTask = needsOf;
    }

    /** Writes a line of the record. */
    note(text) {
        this.lines.push(`${((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8)} s  ${text}`);
    }

    needsOf(task) {
        const [id, , step] = task.split(".");
        const spec = this.steps.get(id)?.[Number(step)] ?? {};
        return {
            cpu: spec.cpu ?? 0,
            "mem-mb": spec["mem-mb"] ?? 0,
            lasts: spec["long-running"] === true,
            ...this.adviser?.checkTicketOf(task),
        };
    }

    taskOf(name) {
        const known = this.tasks.get(name) ?? { starts: [], ends: [], worker: undefined };
        this.tasks.set(name, known);
        return known;
    }

    noteRun({ name, run }, worker) {
        const task = this.taskOf(name);
        task.starts.push({ run, at: performance.now() });
        task.worker = worker;
    }

    noteEnd({ name, run }, how) {
        const task = this.taskOf(name);
        task.ends.push({ run, how, at: performance.now() });
        task.worker = undefined;
    }

    async start() {
        await this.store.start();
        this.cloud = await serve({
            "GET /v1/machines": () => this.listMachines(),
            "POST /v1/machine-move": call => this.orderMachine(call, "moving"),
            "POST /v1/machine-upkeep": call => this.orderMachine(call, "upkeep"),
        });
        for (const { name, machines = 0, label = "a", capacity = { cpu: 32_000, "mem-mb": 131_072, gpu: 0 } } of this.pools) {
            for (let i = 0; i < machines; i++) {
                const number = this.machines.length;
                const machine = {
                    id: `m-${(0x1000 + number).toString(16)}`,
                    pool: name,
                    state: "up",
                    zone: `z${number % 3}`,
                    labels: [label, `r1-${Math.floor(number / 4)}`],
                    capacity,
                    lives: 0,
                };
                this.machines.push(machine);
                await this.beginLife(machine);
            }
        }
        await this.adviser?.start();
        this.beats = setInterval(() => this.beat(), heartbeatMs);
        this.writeConfig();
        const ports = await freePorts(4 * this.entryCount);
        for (let i = 0; i < this.entryCount; i++) {
            const [front, ready, control, metrics] = ports.slice(4 * i, 4 * i + 4);
            this.entries.push({
                name: `edge-z${i % 3}-${i + 1}`,
                zone: `z${i % 3}`,
                front: `${host}:${front}`,
                ready: `${host}:${ready}`,
                control: `${host}:${control}`,
                metrics: `${host}:${metrics}`,
                starts: 0,
            });
        }
        this.entries.forEach(entry => this.startEntry(entry));
        for (const entry of this.entries) {
            await this.until(20_000, async () => (await call(entry.ready, { method: "GET", path: "/v1/readyz" })).status === 200, `${entry.name} is ready`);
        }
        await this.until(20_000, async () => (await this.pending(this.pools[0].name)) !== undefined, "the system answers");
        this.note("all entries are ready");
    }

    /** Settings of an entry: the deploy folder's template. All share one address here, so each gets a metrics port of its own. */
    settingsOf(entry) {
        const template = readFileSync(join(root, "deploy/settings.jsonc"), "utf8");
        return render(template, {
            node: entry.name,
            zone: entry.zone,
            ip: host,
            listen: { front: entry.front, ready: entry.ready, control: entry.control },
            "seed-addrs": this.entries.slice(0, 3).map(({ control }) => control),
            platform: { address: this.store.address },
            cloud: { address: this.cloud.address, "duty-per-s": 64 },
            advice: this.adviser?.address ?? "",
            bounds,
        }).replace(`"${host}:7001"`, `"${entry.metrics}"`);
    }

    startEntry(entry) {
        const file = join(this.temp, `${entry.name}.jsonc`);
        writeFileSync(file, this.settingsOf(entry));
        const { program, args } = runCommand();
        const log = createWriteStream(join(this.temp, `${entry.name}.${++entry.starts}.log`));
        const child = spawn(program, args, {
            cwd: root,
            env: { CELERYWIND_SETTINGS: file, PATH: process.env.PATH, LANG: process.env.LANG ?? "C.UTF-8" },
            stdio: ["ignore", "pipe", "pipe"],
        });
        child.stdout.pipe(log, { end: false });
        child.stderr.pipe(log, { end: false });
        child.once("exit", (code, signal) => {
            this.note(`${entry.name} ended (${signal ?? code})`);
            if (!this.isEnding) {
                // The platform starts a process again that has ended.
                setTimeout(() => this.isEnding || this.startEntry(entry), 500);
            }
        });
        entry.child = child;
    }

    /** Kills an entry with a signal; the platform starts it again. */
    signal(entry, name) {
        this.note(`${entry.name} receives ${name}`);
        entry.child.kill(name);
    }

    /** The entry that the operator's status page names as the owner. */
    async owner() {
        for (const entry of this.entries) {
            const { body } = await call(entry.metrics, { method: "GET", path: "/v1/status" });
            const found = this.entries.find(({ name }) => name === body.owner);
            if (found !== undefined) {
                return found;
            }
        }
        return undefined;
    }

    /** Begins the next life of a machine's worker; machines of a spare pool are off and have none. */
    async beginLife(machine) {
        machine.state = "up";
        if (this.pools.find(({ name }) => name === machine.pool).spare) {
            machine.worker = undefined;
            return;
        }
        const life = ++machine.lives;
        const worker = new Worker({
            id: `i-${machine.id.slice(2)}${life.toString(16).padStart(4, "0")}`,
            machine: machine.id,
            pool: machine.pool,
            zone: machine.zone,
            labels: machine.labels,
            capacity: machine.capacity,
            needsOf: this.needsOfTask,
            record: text => this.note(text),
        });
        machine.worker = worker;
        await worker.start();
        this.store.put("servers", worker.id, worker.row());
    }

    beat() {
        for (const { worker } of this.machines) {
            if (worker?.isAlive) {
                this.store.put("servers", worker.id, worker.row());
            }
        }
    }

    /** Crashes a worker without a word; after `forMs` its machine begins another life. */
    crash(machine, forMs = Infinity) {
        const { worker } = machine;
        this.note(`worker ${worker.id} on ${machine.id} crashes`);
        worker.crash();
        this.loseWorker(machine, forMs);
    }

    /** Takes the power from a rack for `forMs`: its workers end, and channels to them hang. */
    darken(rack, forMs, onUnanswered) {
        const machines = this.machines.filter(({ labels }) => labels[1] === rack);
        this.note(`rack ${rack} goes dark: ${machines.map(({ worker }) => worker.id).join(" ")}`);
        for (const machine of machines) {
            const { worker } = machine;
            worker.onUnanswered = onUnanswered;
            worker.goDark();
            this.loseWorker(machine, forMs);
            setTimeout(() => worker.server.close(), forMs);
        }
    }

    loseWorker(machine, forMs) {
        const { worker } = machine;
        machine.state = "down";
        setTimeout(() => this.store.drop("servers", worker.id), pings * heartbeatMs);
        if (forMs !== Infinity) {
            setTimeout(() => this.isEnding || void this.beginLife(machine), forMs);
        }
    }

    async listMachines() {
        await delay(4);
        return [200, {
            machines: this.machines.map(({ id, pool, state, zone, labels, capacity, worker }) => ({
                machine: id,
                pool,
                state,
                zone,
                labels,
                capacity,
                id: state === "up" ? worker?.id ?? null : null,
            })),
            "next-token": null,
        }];
    }

    async orderMachine({ body, headers }, kind) {
        await delay(4);
        this.lastHolder = headers["celerywind-lease-holder"] ?? "";
        const machine = this.machines.find(({ id }) => id === body.machine);
        if (machine === undefined || (kind === "moving" && !this.pools.some(({ name }) => name === body.pool))) {
            return [400, {}];
        }
        const wave = this.waves.get(body.wave);
        if (kind === "upkeep") {
            if (wave?.machines.includes(machine.id) !== true) {
                return [409, { reason: "wave" }];
            }
            if (wave.begun.has(machine.id)) {
                return [200, {}];
            }
        }
        else if (machine.pool === body.pool) {
            return [200, {}];
        }
        if (machine.state !== "up") {
            return [409, { reason: "busy" }];
        }
        if (kind === "upkeep") {
            wave.begun.add(machine.id);
        }
        this.note(`${machine.id}: ${kind} ${kind === "moving" ? `to ${body.pool}` : `for wave ${body.wave}`} by ${this.lastHolder}`);
        const { worker } = machine;
        if (worker !== undefined) {
            worker.crash();
            this.store.drop("servers", worker.id);
        }
        machine.state = kind;
        if (kind === "moving") {
            machine.pool = body.pool;
        }
        setTimeout(() => this.isEnding || void this.beginLife(machine), kind === "moving" ? moveMs : upkeepMs);
        return [200, {}];
    }

    /** Asks as the operator for the upkeep of machines. */
    orderWave(number, machines, seconds, cap) {
        this.waves.set(number, { machines, begun: new Set() });
        this.store.put("op", `wave/${number}`, { wave: number, machines, "duration-s": seconds, cap });
        this.note(`operator: wave ${number} of ${machines.join(" ")}`);
    }

    waveState(number) {
        return this.store.value("status", `wave/${number}`)?.state;
    }

    /** Writes the manifest as the operator: one queue for each pool that isn't spare, open to the tenants' keys. */
    writeConfig() {
        const version = this.configVersion += 3;
        const queues = this.pools.filter(({ spare }) => !spare);
        this.store.put("op", "config", {
            version,
            routes: queues.map(({ name }) => ({
                name: `r-${name}`,
                host: "site.example",
                "path-prefix": `/${name}/`,
                type: "non_idempotent",
                "timeout-ms": 3000,
                "target-latency-ms": 600,
                priority: 0,
                service: name,
                "max-attempts": 4,
                stretch: 1.6,
                anonymous: false,
                ...(this.adviser !== undefined && { advice: this.adviser.settings() }),
            })),
            services: this.pools.map(({ name, spare = false }) => ({
                name,
                "health-path": "/healthz",
                "max-conns": 64,
                protocol: "h1",
                tls: false,
                "admission-check": true,
                headroom: spare,
            })),
            limits: { "max-header-bytes": 16_384, "max-body-bytes": 262_144, "header-timeout-ms": 3000, "idle-timeout-ms": 15_000 },
            tenants: this.tenants,
        });
        this.note(`operator: manifest ${version}`);
    }

    /** A call of a client to any entry, tried again at the next ones as clients do. */
    async clientCall(method, path, body) {
        for (let i = 0; i < 8; i++) {
            const entry = this.entries[(this.turn = (this.turn ?? 0) + 1) % this.entries.length];
            const answer = await call(entry.front, {
                method,
                path,
                body,
                headers: {
                    host: "site.example",
                    authorization: `Bearer ${this.tenants[0]["api-keys"][0]}`,
                    "celerywind-deadline-ms": "3000",
                },
            });
            if (answer.status === 200 || answer.status === 410 || answer.status === 400) {
                return { ...answer, entry: entry.name };
            }
            if (!path.endsWith("/")) {
                this.note(`client: ${method} ${path} at ${entry.name}: ${answer.status}`);
            }
            await delay(300);
        }
        return { status: 0, body: {}, entry: "" };
    }

    async submit(queue, id, steps, spec = { workMs: 1000 }, more = {}) {
        this.steps.set(id, steps);
        this.note(`client: submits ${id} to ${queue}: ${JSON.stringify({ steps, ...more })}`);
        const { status, entry } = await this.clientCall("POST", `/${queue}/${id}`, { spec: JSON.stringify(spec), steps, ...more });
        this.note(`client: ${id} answered ${status} by ${entry}`);
        return status === 200;
    }

    /** State of a submission as a client reads it; undefined without an answer. */
    async state(queue, id) {
        const { status, body, entry } = await this.clientCall("GET", `/${queue}/${id}`);
        const state = status === 410 ? "410" : status === 200 ? body.state : undefined;
        const known = this.states ??= new Map();
        if (known.get(id) !== state) {
            known.set(id, state);
            this.note(`client: GET ${id} at ${entry}: ${state}`);
        }
        return state;
    }

    async pending(queue) {
        const { status, body } = await this.clientCall("GET", `/${queue}/`);
        return status === 200 ? body.pending : undefined;
    }

    /** Waits until `test` holds; throws after `ms` if `what` is given, else returns whether it held. */
    async until(ms, test, what) {
        const end = performance.now() + ms;
        while (performance.now() < end) {
            if (await test()) {
                return true;
            }
            await delay(100);
        }
        if (what !== undefined) {
            throw new Error(`not within ${ms} ms: ${what}`);
        }
        return false;
    }

    async end() {
        this.isEnding = true;
        clearInterval(this.beats);
        const ended = this.entries.map(({ child }) =>
            child === undefined || child.exitCode !== null || child.signalCode !== null
                ? undefined
                : new Promise(resolve => child.once("exit", resolve))
        );
        this.entries.forEach(({ child }) => child?.kill("SIGKILL"));
        await Promise.all(ended);
        this.machines.forEach(({ worker }) => worker?.isAlive && worker.crash());
        this.store.stop();
        this.cloud?.close();
        this.adviser?.server.close();
        closeClient();
        if (process.env.KEEP_LOGS === undefined) {
            rmSync(this.temp, { recursive: true, force: true });
        }
        else {
            console.log(this.temp);
        }
    }
}

/**
 * Plays a case and ends the process: with 1 if `play` returns a broken rule, 0 if it returns nothing, and 2 if it could not
 * run. `TROUBLE=0` leaves the disruption out.
 */
export async function playCase(options, play) {
    const site = new Site(options);
    const hasTrouble = process.env.TROUBLE !== "0";
    let code = 2;
    const limit = setTimeout(() => {
        site.note("the case took too long");
        finish(2);
    }, 115_000);
    for (const name of ["SIGINT", "SIGTERM"]) {
        process.once(name, () => void finish(2));
    }
    const finish = async result => {
        clearTimeout(limit);
        await site.end();
        writeFileSync(site.recordFile, `${site.lines.join("\n")}\n`);
        process.exit(result);
    };
    try {
        await site.start();
        const broken = await play(site, hasTrouble);
        code = broken === undefined ? 0 : 1;
        site.note(broken === undefined ? "the rule held" : `BROKEN: ${broken}`);
        console.log(broken === undefined ? "the rule held" : `broken: ${broken}`);
    }
    catch (err) {
        site.note(`the case could not run: ${err.stack}`);
        console.log(`the case could not run: ${err.message}`);
    }
    await finish(code);
}
