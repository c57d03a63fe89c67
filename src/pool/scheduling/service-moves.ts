/**
 * Which VM is drained because it is kept in its pool for services that fit on others. Pure.
 *
 * Load pattern: services with a limit per worker and services without one are placed one job after the other, and fill
 * different VMs; the VMs stay in the pool for as long as the services run, for hours.
 */
import { addResources, fitsInto, type Resources } from "../../process/resources.js";
import type { ServiceRun, VmContents } from "./vm-contents.js";

/** A VM of the pool, joined and not drained. */
export interface ServiceVm {
    readonly vm: string;
    /** Number of runs. */
    readonly runs: number;
    readonly labels: readonly string[];
    readonly contents: VmContents;
}

/**
 * The VM with the fewest runs of services among those that run nothing else and whose services all fit on other VMs with
 * services; undefined if there is none.
 */
export function vmToVacate(vms: readonly ServiceVm[]): ServiceVm | undefined {
    const withServices = vms.filter(({ contents }) => contents.services.length > 0);
    return withServices
        .filter(({ runs, contents }) => contents.services.length === runs)
        .sort((a, b) => a.runs - b.runs)
        .find(vm => canHold(withServices.filter(other => other !== vm), vm.contents.services));
}

/** Whether runs of services fit on the VMs beside what is there. */
function canHold(vms: readonly ServiceVm[], services: readonly ServiceRun[]): boolean {
    const rooms = vms.map(({ contents, labels }) => ({
        free: contents.free,
        labels,
        tasks: contents.services.map(({ step }) => step),
    }));
    return services.every(({ step, needs, perWorker, label }) => {
        const room = rooms.find(({ free, labels, tasks }) =>
            fitsInto(needs, free) && (label === undefined || labels.includes(label))
            && (perWorker === 0 || tasks.filter(other => other === step).length < perWorker)
        );
        if (room !== undefined) {
            room.free = without(room.free, needs);
            room.tasks.push(step);
        }
        return room !== undefined;
    });
}

function without(free: Resources, needs: Resources): Resources {
    return addResources(free, needs, -1);
}
