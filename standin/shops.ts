/** The two example shops at their current sizes, and scaled-down versions of them for short runs. */

/** A pool of workers of a shop. */
export interface ShopPool {
    readonly name: string;
    readonly workers: number;
    /** Availability budget: the number of workers that must stay available. */
    readonly budget: number;
    /** Whether the pool lends its VMs to other pools. */
    readonly spare: boolean;
}

/** Load on a queue. */
export interface QueueLoad {
    readonly queue: string;
    readonly teams: readonly string[];
    /** Mean arrival rate, for a site scaled to one worker per pool. */
    readonly requestsPerS: number;
    /** Service time, in milliseconds. */
    readonly serviceMs: number;
}

/** A shop: its zones, pools, load and VM size. */
export interface Shop {
    readonly name: string;
    /** Folder of its lists below `examples`. */
    readonly exampleFolder: string;
    readonly zones: readonly string[];
    readonly pools: readonly ShopPool[];
    readonly loads: readonly QueueLoad[];
    /** Cores of each VM. */
    readonly cores: number;
    /** Memory of each VM. */
    readonly memoryGb: number;
}

const narragansettPools = ["bench", "atelier", "studio", "bridal", "office"];
const atlasWorkers: Readonly<Record<string, number>> = {
    "order-desk": 8,
    "mould-shop": 9,
    "trade-sales": 7,
    "finish-line": 6,
    "admin-ledger": 6,
};

/** Narragansett Fold Workers' Co-operative. */
export const narragansett: Shop = {
    name: "Narragansett Fold Workers' Co-operative",
    exampleFolder: "narragansett",
    zones: ["ne-1", "ne-2", "ne-3", "ne-4"],
    pools: narragansettPools.map(name => ({ name, workers: 8, budget: 6, spare: name === "office" })),
    loads: [
        { queue: "fold-preview", teams: ["thames-boutique", "benches"], requestsPerS: 12, serviceMs: 30 },
        { queue: "square-price", teams: ["newport-weddings", "guest"], requestsPerS: 12, serviceMs: 20 },
        { queue: "bench-booking", teams: ["benches", "duty-committee"], requestsPerS: 6, serviceMs: 25 },
        {
            queue: "bridal-order",
            teams: ["bellevue-boutique", "newport-weddings"],
            requestsPerS: 6,
            serviceMs: 40,
        },
        { queue: "monogram-proof", teams: ["thames-boutique", "benches"], requestsPerS: 2, serviceMs: 400 },
        { queue: "catalogue-run", teams: ["duty-committee"], requestsPerS: 1, serviceMs: 600 },
    ],
    cores: 32,
    memoryGb: 128,
};

/** Fonderie Atlas Presse-Papiers. */
export const atlas: Shop = {
    name: "Fonderie Atlas Presse-Papiers",
    exampleFolder: "atlas",
    zones: ["fes-1", "fes-2", "fes-3"],
    pools: Object.entries(atlasWorkers).map(([name, workers]) => ({
        name,
        workers,
        budget: workers - 2,
        spare: name === "admin-ledger",
    })),
    loads: [
        {
            queue: "crest-quote",
            teams: ["souk-rcif", "medina-gifts", "rabat-office"],
            requestsPerS: 12,
            serviceMs: 25,
        },
        { queue: "pour-plan", teams: ["mould-shop"], requestsPerS: 8, serviceMs: 35 },
        { queue: "order-entry", teams: ["order-desk", "souk-rcif"], requestsPerS: 6, serviceMs: 30 },
        { queue: "glaze-order", teams: ["finishing-line", "mould-shop"], requestsPerS: 4, serviceMs: 40 },
        { queue: "curing-check", teams: ["mould-shop", "finishing-line"], requestsPerS: 2, serviceMs: 500 },
        { queue: "ledger-run", teams: ["order-desk"], requestsPerS: 1, serviceMs: 600 },
    ],
    cores: 64,
    memoryGb: 256,
};

/** Both shops. */
export const shops: readonly Shop[] = [narragansett, atlas];

/** Returns the shop with `workers` workers in each pool, and a budget that leaves one of them free for maintenance. */
export function scaleShop(shop: Shop, workers: number): Shop {
    const pools = shop.pools.map(pool => ({ ...pool, workers, budget: Math.max(0, workers - 1) }));
    return { ...shop, pools };
}
