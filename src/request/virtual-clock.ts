/**
 * Virtual time for weighted scheduling of the teams in one pool on one entry. The virtual time of a team advances by
 * its slot time divided by its weight, and the team with the smallest virtual time is served next. Weights start at
 * the shares and are slowly corrected towards equal ratios of use to share across the fleet, so that teams whose
 * requests are spread unevenly over the entries still receive their shares.
 */

/** Usage of one team across the fleet, from which its weight is corrected. */
export interface TeamUsage {
    readonly team: string;
    readonly share: number;
    /** Mean number of slots recently used on all entries. */
    readonly usedSlots: number;
    /** Whether work of the team waits on any entry; only then does low usage mean that the team lacks slots. */
    readonly isBacklogged: boolean;
}

/** Exponent applied to the ratio of fair to actual use in each adjustment; small, so that weights change slowly. */
const correctionGain = 0.06;
/** Corrections of the weights stay between `1 / maxCorrection` and `maxCorrection`. */
const maxCorrection = 8;
/** Exponent by which the correction of a team without backlog returns towards 1 in each adjustment. */
const correctionDecay = 0.9;

/** Virtual times and weight corrections of the teams in one pool. */
export class VirtualClock {
    private readonly virtualTimes = new Map<string, number>();
    private readonly corrections = new Map<string, number>();
    private systemVirtualTime = 0;

    static create(): VirtualClock {
        return new VirtualClock();
    }

    /** Virtual time of a team; the team with the smallest is served next. */
    virtualTime(team: string): number {
        return this.virtualTimes.get(team) ?? this.systemVirtualTime;
    }

    /**
     * Advances an idle team to the system virtual time, so that it gains no credit for time in which it requested
     * nothing.
     */
    activate(team: string): void {
        this.virtualTimes.set(team, Math.max(this.virtualTime(team), this.systemVirtualTime));
    }

    /** Advances the system virtual time to that of a team that is served. */
    advanceTo(team: string): void {
        this.systemVirtualTime = Math.max(this.systemVirtualTime, this.virtualTime(team));
    }

    /** Charges slot time in milliseconds to a team; negative to correct an estimate. */
    charge(team: string, ms: number, share: number): void {
        const weight = share * (this.corrections.get(team) ?? 1);
        this.virtualTimes.set(team, this.virtualTime(team) + ms / weight);
    }

    /**
     * Moves the corrections of backlogged teams towards equal ratios of use to share; decays those of the other
     * teams.
     */
    adjustCorrections(usages: readonly TeamUsage[]): void {
        const backlogged = usages.filter(each => each.isBacklogged);
        const totalUsedSlots = backlogged.reduce((sum, { usedSlots }) => sum + usedSlots, 0);
        const totalShare = backlogged.reduce((sum, { share }) => sum + share, 0);
        this.decayCorrections(new Set(backlogged.map(each => each.team)));
        if (backlogged.length < 2 || totalUsedSlots <= 0) {
            return;
        }
        for (const { team, share, usedSlots } of backlogged) {
            const fairSlots = totalUsedSlots * share / totalShare;
            const factor = (fairSlots / Math.max(usedSlots, fairSlots / maxCorrection)) ** correctionGain;
            const next = (this.corrections.get(team) ?? 1) * factor;
            this.corrections.set(
                team,
                Math.min(maxCorrection, Math.max(1 / maxCorrection, next)),
            );
        }
    }

    private decayCorrections(backlogged: ReadonlySet<string>): void {
        for (const [team, correction] of this.corrections) {
            if (!backlogged.has(team)) {
                this.corrections.set(team, correction ** correctionDecay);
            }
        }
    }
}
