/** Which steps the workers of a domain could run at all, by the capacities and labels seen so far. */
import type { StepSpec } from "../job/index.js";
import { fitsInto, type Resources } from "../process/resources.js";

/** Capacity and labels of a worker, or of a VM that could become one. */
export interface WorkerShape {
    readonly capacity: Resources;
    readonly labels: readonly string[];
}

/** Limit on recorded shapes. Once it is reached, every step counts as possible. */
const maxShapes = 2000;

/** Shapes of workers and VMs. */
export class WorkerShapes {
    private readonly shapes = new Map<string, WorkerShape>();
    /** Steps that a recorded shape could run. No shape is forgotten, so they stay possible. */
    private readonly possibleSteps = new WeakSet<StepSpec>();

    private constructor() {}

    static create(): WorkerShapes {
        return new WorkerShapes();
    }

    get count(): number {
        return this.shapes.size;
    }

    /** Records shapes of workers, or of VMs that could become workers. */
    record(shapes: readonly WorkerShape[]): void {
        for (const shape of shapes) {
            const { cpu, memory, accelerators } = shape.capacity;
            const key = `${cpu}/${memory}/${accelerators}/${shape.labels.join("/")}`;
            if (this.shapes.size < maxShapes) {
                this.shapes.set(key, shape);
            }
        }
    }

    /** Whether any recorded shape could run a task of the step on an empty worker. */
    couldEverRun(step: StepSpec): boolean {
        if (this.shapes.size === 0 || this.shapes.size >= maxShapes || this.possibleSteps.has(step)) {
            return true;
        }
        const needs = reservedResources({ step });
        const isPossible = [...this.shapes.values()].some(({ capacity, labels }) =>
            fitsInto(needs, capacity) && (step.label === undefined || labels.includes(step.label))
        );
        if (isPossible) {
            this.possibleSteps.add(step);
        }
        return isPossible;
    }
}

/** Resources that a run reserves on its worker. Best-effort runs reserve no processor time. */
export function reservedResources({ step }: { readonly step: StepSpec }): Resources {
    return step.isBestEffort ? { ...step.needs, cpu: 0 } : step.needs;
}
