/**
 * Runs the tasks of an entry as services of a local moleculer broker, which delivers messages between them. The broker
 * has no transporter, so its messages never leave the process.
 */
import { ServiceBroker, type ServiceSchema } from "moleculer";

/** Topics of the messages between tasks. */
export enum Topic {
    /** This entry adopted a newer revision of the lists and keys. */
    VersionAdopted = "version.adopted",
    /** The registered entries or the platform's VMs changed. */
    FleetChanged = "fleet.changed",
    /** The grants that this entry holds changed. */
    GrantsChanged = "grants.changed",
    /** A job of the shard became ready to run. */
    JobReady = "job.ready",
}

/** Payload of each topic. */
export interface TopicPayloads {
    readonly [Topic.VersionAdopted]: { readonly revision: number };
    readonly [Topic.FleetChanged]: Readonly<Record<string, never>>;
    readonly [Topic.GrantsChanged]: Readonly<Record<string, never>>;
    readonly [Topic.JobReady]: { readonly shard: number };
}

/** Message handlers of a task by topic. */
export type Handlers = { readonly [T in Topic]?: (payload: TopicPayloads[T]) => void };

/** A component with its own sockets and state. It starts and stops with the entry and receives messages. */
export interface Task {
    readonly name: string;
    readonly handlers?: Handlers;
    start(): Promise<void>;
    stop(): Promise<void>;
}

/** Publishes a message to all tasks of the entry that handle its topic. */
export type Publish = <T extends Topic>(topic: T, payload: TopicPayloads[T]) => void;

/** Local message broker of one entry. */
export class Hub {
    private constructor(private readonly broker: ServiceBroker) {}

    static create(nodeID: string): Hub {
        return new Hub(
            new ServiceBroker({
                nodeID,
                logLevel: "warn",
                logger: false,
                // Its signal handlers would end the process during the planned stop of the entry.
                skipProcessEventRegistration: true,
            }),
        );
    }

    /** Adds a task; call before `start`. */
    addTask(task: Task): void {
        this.broker.createService({
            name: task.name,
            started: () => task.start(),
            stopped: () => task.stop(),
            events: eventsOf(task.handlers ?? {}),
        });
    }

    /** Adds a moleculer service, such as a web gateway, and returns it. */
    addService(schema: ServiceSchema): ReturnType<ServiceBroker["createService"]> {
        return this.broker.createService(schema);
    }

    /** Starts all tasks. */
    start(): Promise<void> {
        return this.broker.start();
    }

    /** Stops all tasks. */
    stop(): Promise<void> {
        return this.broker.stop();
    }

    /** Publishes a message to every task that handles `topic`. */
    publish<T extends Topic>(topic: T, payload: TopicPayloads[T]): void {
        void this.broker.broadcastLocal(topic, payload);
    }
}

function eventsOf(handlers: Handlers): NonNullable<ServiceSchema["events"]> {
    const entries = Object.entries(handlers) as [string, (payload: unknown) => void][];
    const events = entries.map(([topic, handle]) => {
        const handler = (ctx: { params: unknown }): void => handle(ctx.params);
        return [topic, { handler }] as const;
    });
    return Object.fromEntries(events);
}
