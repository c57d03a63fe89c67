/**
 * Stand-in of a worker: one life of a machine. It guards its capacity, keeps fence numbers, leases and ends as the page says.
 * A subtask's `spec` is JSON with `workMs`; a subtask that lasts works until it is stopped.
 */
import { delay, serve } from "./http.es6";

const holdMaxMs = 6000;
const stopMs = 100;
const startupMs = 300;

export class Worker {
    fence = 0;
    runs = new Map();
    ends = [];
    nextEnd = 1;
    highest = new Map();
    leaseUntil = 0;
    waiters = new Set();
    sequence = 0;
    isAlive = false;
    isDark = false;

    constructor({ id, machine, pool, zone, labels, capacity, needsOf, record }) {
        Object.assign(this, { id, machine, pool, zone, labels, capacity, needsOf, record });
        this.born = Date.now();
        this.startedAt = performance.now();
    }

    async start() {
        const guarded = handle => call => {
            const target = call.headers["celerywind-target-instance"];
            if (this.isDark) {
                this.onUnanswered?.(call);
                return new Promise(() => undefined);
            }
            return target !== undefined && target !== this.id ? [421, {}] : handle(call.body);
        };
        this.server = await serve({
            "POST /v1/run-start": guarded(body => this.startRun(body)),
            "POST /v1/run-stop": guarded(body => this.stopRun(body)),
            "POST /v1/hold": guarded(body => this.hold(body)),
            "POST /v1/pace": guarded(body => this.accepts(body.fence) ? this.ok() : this.no("fence")),
            "GET /healthz": () => [200, {}],
        });
        this.address = this.server.address;
        this.isAlive = true;
        this.leaseTimer = setInterval(() => this.lapse(), 20);
    }

    /** Ends at once; nothing is told to anybody, and open channels are reset. */
    crash() {
        this.goDark();
        this.server.close();
    }

    /** Ends at once, as with the power of its rack: open channels hang, and nothing is answered. */
    goDark() {
        this.isAlive = false;
        this.isDark = true;
        clearInterval(this.leaseTimer);
        for (const run of this.runs.values()) {
            clearTimeout(run.timer);
            this.record(`${run.name} run ${run.run} on ${this.id}: gone with its worker`);
            this.needsOf.onEnd?.(run, "gone");
        }
        this.runs.clear();
    }

    row() {
        return {
            service: this.pool,
            address: this.address,
            zone: this.zone,
            version: "v1",
            slots: 8,
            state: "ready",
            "cold-left-ms": 0,
            capacity: this.capacity,
            labels: this.labels,
            "clock-ms": this.clock(),
            born: this.born,
            sequence: ++this.sequence,
        };
    }

    clock() {
        return Math.round(performance.now() - this.startedAt);
    }

    ok(more = {}) {
        return [200, { "clock-ms": this.clock(), born: this.born, ...more }];
    }

    no(reason) {
        return [409, { "clock-ms": this.clock(), reason }];
    }

    accepts(fence = 0) {
        if (fence < this.fence) {
            return false;
        }
        this.fence = fence;
        return true;
    }

    extend(deadline) {
        if (deadline !== undefined) {
            this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadline, this.clock() + holdMaxMs));
        }
    }

    startRun({ task, run, spec, "deadline-ms": deadline, fence, saved = "", ticket }) {
        if (!this.accepts(fence)) {
            return this.no("fence");
        }
        const present = this.runs.get(task);
        if (present?.run === run) {
            this.extend(deadline);
            return this.ok();
        }
        if (deadline <= this.clock()) {
            return this.no("late");
        }
        this.extend(deadline);
        if (run <= (this.highest.get(task) ?? 0) || present !== undefined) {
            return this.no("old");
        }
        const needs = this.needsOf(task);
        const used = [...this.runs.values()].reduce(
            (sum, other) => ({ cpu: sum.cpu + other.needs.cpu, mem: sum.mem + other.needs["mem-mb"] }),
            { cpu: 0, mem: 0 },
        );
        if (used.cpu + needs.cpu > this.capacity.cpu || used.mem + needs["mem-mb"] > this.capacity["mem-mb"]) {
            return this.no("room");
        }
        if (needs.checkTicket?.(ticket, this) === false) {
            return this.no("ticket");
        }
        const { workMs = 1000 } = JSON.parse(spec);
        const started = { name: task, run, needs, spec, saved, workMs, at: performance.now(), isStopping: false };
        this.runs.set(task, started);
        this.record(`${task} run ${run} on ${this.id}: started`);
        this.needsOf.onStart?.(started, this);
        if (!needs.lasts) {
            started.timer = setTimeout(() => this.end(started, "done"), workMs);
        }
        return this.ok();
    }

    stopRun({ task, run, fence }) {
        if (!this.accepts(fence)) {
            return this.no("fence");
        }
        this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
        const present = this.runs.get(task);
        if (present !== undefined && present.run <= run && !present.isStopping) {
            present.isStopping = true;
            clearTimeout(present.timer);
            present.timer = setTimeout(() => this.end(present, "stopped"), stopMs);
        }
        return this.ok();
    }

    end(run, how) {
        if (this.runs.get(run.name) !== run) {
            return;
        }
        clearTimeout(run.timer);
        this.runs.delete(run.name);
        this.highest.set(run.name, Math.max(run.run, this.highest.get(run.name) ?? 0));
        this.ends.push([this.nextEnd++, run.name, run.run, how, ""]);
        this.record(`${run.name} run ${run.run} on ${this.id}: ${how}`);
        this.needsOf.onEnd?.(run, how);
        [...this.waiters].forEach(wake => wake());
    }

    lapse() {
        if (this.runs.size > 0 && this.clock() > this.leaseUntil) {
            [...this.runs.values()].forEach(run => this.end(run, "lapsed"));
        }
    }

    async hold({ fence, "ack-seq": ack = 0, "deadline-ms": deadline, "wait-ms": waitMs = 0 }) {
        if (!this.accepts(fence)) {
            return this.no("fence");
        }
        this.extend(deadline);
        this.ends = this.ends.filter(([position]) => position > ack);
        const until = performance.now() + Math.min(2000, waitMs);
        while (this.ends.length === 0 && performance.now() < until && this.isAlive) {
            await Promise.race([
                delay(until - performance.now()),
                new Promise(resolve => {
                    const wake = () => {
                        this.waiters.delete(wake);
                        resolve();
                    };
                    this.waiters.add(wake);
                }),
            ]);
        }
        return this.ok({
            running: [...this.runs.values()].map(run => [run.name, run.run, run.saved, this.percentOf(run), 0]),
            ended: this.ends.slice(0, 500),
        });
    }

    percentOf({ at, workMs, needs }) {
        const age = performance.now() - at;
        return needs.lasts ? (age >= startupMs ? 100 : 0) : Math.min(99, Math.floor(100 * age / workMs));
    }
}
