/** In-memory platform, for trials of celerywind without a platform and as the core of the stand-in server. */
import {
    type Platform,
    type PoolSpec,
    type TransactResult,
    type Usage,
    type Vm,
    type VmList,
    VmState,
} from "../../process/platform.js";
import { type Row, type Write, WriteKind } from "../../process/store.js";

/** Options of `EmbeddedPlatform.create`. */
export interface EmbeddedOptions {
    readonly vms?: readonly Vm[];
    readonly pools?: readonly PoolSpec[];
    /** Restarts a VM and resolves with its new boot id. */
    readonly restart?: (vm: Vm) => Promise<string>;
    /** Resolves with the number of requests and tasks that a VM runs. */
    readonly usage?: (vm: Vm) => Promise<number>;
    /** Wall clock, in milliseconds since the epoch. */
    readonly wall?: () => number;
}

/** Tables, objects and VMs held in memory. */
export class EmbeddedPlatform implements Platform {
    private readonly rows = new Map<string, Row>();
    private readonly objects = new Map<string, Buffer>();
    private readonly vms = new Map<string, Vm>();
    private readonly pools = new Map<string, PoolSpec>();
    private readonly sortedKeys: string[] = [];

    private constructor(private readonly options: EmbeddedOptions) {
        options.vms?.forEach(vm => this.putVm(vm));
        options.pools?.forEach(pool => this.pools.set(pool.name, pool));
    }

    static create(options: EmbeddedOptions = {}): EmbeddedPlatform {
        return new EmbeddedPlatform(options);
    }

    /** Adds a VM to the list, or replaces its entry there. */
    putVm(vm: Vm): void {
        this.vms.set(vm.id, vm);
    }

    /** Removes a VM from the list. */
    removeVm(id: string): void {
        this.vms.delete(id);
    }

    /** The VMs currently listed. */
    currentVms(): readonly Vm[] {
        return [...this.vms.values()];
    }

    /** Rows whose keys start with a prefix, in no particular order. */
    rowsWithPrefix(prefix: string): readonly Row[] {
        return [...this.rows.values()].filter(row => row.key.startsWith(prefix));
    }

    /** Adds a pool, or replaces the one of the same name. */
    putPool(pool: PoolSpec): void {
        this.pools.set(pool.name, pool);
    }

    get(key: string): Promise<Row | undefined> {
        return Promise.resolve(this.rows.get(key));
    }

    scan(prefix: string, after: string, limit: number): Promise<readonly Row[]> {
        const keys = this.sortedKeys;
        const page: Row[] = [];
        for (let index = lowerBound(keys, after > prefix ? after : prefix); index < keys.length; index++) {
            const key = keys[index]!;
            if (!key.startsWith(prefix) || page.length === limit) {
                break;
            }
            if (key > after) {
                page.push(this.rows.get(key)!);
            }
        }
        return Promise.resolve(page);
    }

    transact(writes: readonly Write[]): Promise<TransactResult> {
        const conflicts = writes.filter(write =>
            (this.rows.get(write.key)?.version ?? 0) !== write.ifVersion
        );
        if (conflicts.length > 0) {
            return Promise.resolve({ kind: "conflict", keys: conflicts.map(write => write.key) });
        }
        writes.forEach(write => this.applyWrite(write));
        return Promise.resolve({ kind: "committed" });
    }

    putObject(key: string, body: Buffer): Promise<void> {
        this.objects.set(key, body);
        return Promise.resolve();
    }

    getObject(key: string): Promise<Buffer | undefined> {
        return Promise.resolve(this.objects.get(key));
    }

    deleteObject(key: string): Promise<void> {
        this.objects.delete(key);
        return Promise.resolve();
    }

    listVms(): Promise<VmList> {
        return Promise.resolve({ vms: [...this.vms.values()], pools: [...this.pools.values()] });
    }

    listUsage(): Promise<readonly Usage[]> {
        const usage = this.options.usage ?? (() => Promise.resolve(0));
        const reports = [...this.vms.values()].map(async vm => ({ vm: vm.id, running: await usage(vm) }));
        return Promise.all(reports);
    }

    drain(id: string): Promise<void> {
        return this.updateVm(id, vm => ({ ...vm, draining: true }));
    }

    undrain(id: string): Promise<void> {
        return this.updateVm(id, vm => ({ ...vm, draining: false }));
    }

    async reboot(id: string, ifBootId: string): Promise<boolean> {
        const vm = this.vms.get(id);
        if (vm?.bootId !== ifBootId) {
            return false;
        }
        await this.updateVm(id, current => ({ ...current, state: VmState.Failed }));
        const restart = this.options.restart ?? (() => Promise.resolve(`${ifBootId}+`));
        void restart(vm).then(bootId => this.finishReboot(id, bootId));
        return true;
    }

    moveVm(id: string, pool: string): Promise<void> {
        return this.updateVm(id, vm => ({ ...vm, pool }));
    }

    private finishReboot(id: string, bootId: string): Promise<void> {
        const bootedAt = (this.options.wall ?? Date.now)();
        return this.updateVm(id, vm => ({ ...vm, state: VmState.Live, bootId, bootedAt }));
    }

    private updateVm(id: string, update: (vm: Vm) => Vm): Promise<void> {
        const vm = this.vms.get(id);
        if (vm !== undefined) {
            this.vms.set(id, update(vm));
        }
        return Promise.resolve();
    }

    private applyWrite(write: Write): void {
        const { key, ifVersion } = write;
        switch (write.kind) {
            case WriteKind.Put:
                if (!this.rows.has(key)) {
                    this.sortedKeys.splice(lowerBound(this.sortedKeys, key), 0, key);
                }
                this.rows.set(key, { key, version: ifVersion + 1, value: write.value });
                break;
            case WriteKind.Remove:
                if (this.rows.delete(key)) {
                    this.sortedKeys.splice(lowerBound(this.sortedKeys, key), 1);
                }
                break;
        }
    }
}

/** Index of the first key that does not sort before `key`, or the length when there is none. */
function lowerBound(keys: readonly string[], key: string): number {
    let low = 0;
    let high = keys.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if (keys[middle]! < key) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}
