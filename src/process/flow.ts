/**
 * Decision logic is written as generators that yield effects and receive their results. The same generator runs
 * against real sockets in the daemon and against test doubles in tests.
 */

/** A generator that yields effects of type `E` and returns a value of type `T`. */
export type Flow<E, T> = Generator<E, T, unknown>;

/** Carries out one effect and resolves with its result; a rejection is thrown into the generator. */
export type Perform<E> = (effect: E) => Promise<unknown>;

type Settled = { readonly ok: true; readonly value: unknown } | { readonly ok: false; readonly err: unknown };

/** Runs a flow to completion, performing the effects that it yields one after another. */
export async function runFlow<E, T>(flow: Flow<E, T>, perform: Perform<E>): Promise<T> {
    let step = flow.next();
    while (!step.done) {
        const settled = await performSettled(perform, step.value);
        step = settled.ok ? flow.next(settled.value) : flow.throw(settled.err);
    }
    return step.value;
}

async function performSettled<E>(perform: Perform<E>, effect: E): Promise<Settled> {
    try {
        return { ok: true, value: await perform(effect) };
    }
    catch (err) {
        return { ok: false, err };
    }
}
