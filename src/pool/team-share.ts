/**
 * Which jobs lie within what their team may count on. Answers one team sending many times its usual: its excess
 * waits behind the work of all others.
 */
import type { Timer } from "../process/timer.js";
import type { Directory } from "../version/directory.js";

/** Seconds of its weight that a team may send at once. */
const burstSeconds = 2;
const msPerSecond = 1000;

interface Allowance {
    jobs: number;
    at: number;
}

/** Counts the jobs of each team against its weight in jobs a second. */
export class TeamShare {
    private readonly allowances = new Map<string, Allowance>();

    private constructor(
        private readonly timer: Timer,
        private readonly directory: () => Directory | undefined,
    ) {}

    static create(timer: Timer, directory: () => Directory | undefined): TeamShare {
        return new TeamShare(timer, directory);
    }

    /** Takes one job of a team into account; true when it goes beyond the team's share. */
    isBeyond(team: string): boolean {
        const weight = this.directory()?.teams.get(team)?.weight ?? 0;
        if (weight <= 0) {
            return false;
        }
        const now = this.timer.now();
        const most = Math.max(1, weight * burstSeconds);
        const allowance = this.allowances.get(team) ?? { jobs: most, at: now };
        this.allowances.set(team, allowance);
        allowance.jobs = Math.min(most, allowance.jobs + (now - allowance.at) * weight / msPerSecond);
        allowance.at = now;
        if (allowance.jobs < 1) {
            return true;
        }
        allowance.jobs--;
        return false;
    }
}
