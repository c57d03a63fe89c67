/**
 * What an owner's plan of VMs depends on beyond jobs and inventory, for the next owner: the demand of the last seconds, VM
 * orders whose effect the inventory may not show, and the VMs that are being drained.
 */
import { z } from "zod";
import { parseJson } from "../process/json.js";
import type { DemandSample } from "./demand.js";
import { maxPartBytes, type StatePart } from "./owner-state.js";
import { VmPhase } from "./ports.js";

/** A VM order whose effect the inventory may not show yet. */
export interface OrderInProgress {
    readonly vm: string;
    /** Pool of the VM once the order is carried out. */
    readonly pool: string;
    readonly phase: VmPhase;
    /** Time in milliseconds after which the inventory shows the effect. */
    readonly remainingMs: number;
}

/** State of an owner's plan of VMs. Ages are in milliseconds. */
export interface FleetState {
    /** Samples of demand by pool, with the age of each instead of its time. */
    readonly samples: ReadonlyMap<string, readonly (DemandSample & { readonly ageMs: number })[]>;
    readonly orders: readonly OrderInProgress[];
    /** VMs on which no new run is placed, so that they become empty. */
    readonly cordoned: readonly string[];
}

/**
 * Age from which a state is ignored: it is not that of an owner that has just failed, whose successor takes over within two
 * seconds, or within four when the store does not answer at first. The clocks of two VMs may differ by minutes, in which
 * case the state is lost or used once although it is old.
 */
const maxStateAgeMs = 5000;

/** Longest time after which the inventory shows the effect of an order: moves and maintenance take seconds. */
const maxOrderMs = 600_000;
/** Demand of all tasks of a pool for a resource. */
const maxDemand = 1e15;
const demand = z.number().min(0).max(maxDemand);

const stateText = z.object({
    samples: z.record(z.string(), z.array(z.tuple([z.number().min(0), demand, demand, demand]))),
    orders: z.array(z.tuple([z.string(), z.string(), z.enum(VmPhase), z.number().max(maxOrderMs)])),
    cordoned: z.array(z.string()),
});

/** Hands the state of the plan of VMs from one owner to the next. */
export class FleetHandover implements StatePart {
    readonly name = "fleet";
    private inheritedState: FleetState | undefined;
    private source: () => FleetState | undefined = () => undefined;

    static create(): FleetHandover {
        return new FleetHandover();
    }

    /** State of the previous owner; undefined if there is none that is recent. */
    get inherited(): FleetState | undefined {
        return this.inheritedState;
    }

    /**
     * Sets what returns this owner's state. Until it returns one, nothing is stored: the row of the previous owner still
     * tells the next one more.
     */
    setSource(source: () => FleetState | undefined): void {
        this.source = source;
    }

    encode(): string | undefined {
        const state = this.source();
        if (state === undefined) {
            return undefined;
        }
        const samples = Object.fromEntries(
            [...state.samples].map(([pool, ofPool]) => [
                pool,
                ofPool.map(({ ageMs, demand }) => [
                    Math.round(ageMs),
                    Math.round(demand.cpu),
                    Math.round(demand.memory),
                    Math.round(demand.accelerators),
                ]),
            ]),
        );
        const orders = state.orders.map(({ vm, pool, phase, remainingMs }) => [
            vm,
            pool,
            phase,
            Math.ceil(remainingMs),
        ]);
        const { cordoned } = state;
        // What the inventory shows sooner or later is left out first if the text is too long.
        const texts = [{ samples, orders, cordoned }, { samples, orders, cordoned: [] }, {
            samples,
            orders: [],
            cordoned: [],
        }].map(content => JSON.stringify(content));
        return texts.find(text => Buffer.byteLength(text) <= maxPartBytes);
    }

    restore(text: string, ageMs: number): boolean {
        const parsed = stateText.safeParse(parseJson(text));
        if (!parsed.success) {
            return false;
        }
        if (ageMs <= maxStateAgeMs) {
            const { samples, orders, cordoned } = parsed.data;
            this.inheritedState = {
                samples: new Map(
                    Object.entries(samples).map(([pool, ofPool]) => [
                        pool,
                        ofPool.map(([sampleAgeMs, cpu, memory, accelerators]) => ({
                            ageMs: sampleAgeMs,
                            demand: { cpu, memory, accelerators },
                        })),
                    ]),
                ),
                orders: orders.map(([vm, pool, phase, remainingMs]) => ({ vm, pool, phase, remainingMs })),
                cordoned,
            };
        }
        return true;
    }
}
