/**
 * Whose turn it is in one pool at one entry. Each team has a clock that advances by slot time over weight; the team
 * whose clock is furthest behind is next. Weights start at the shares and are corrected slowly towards equal use over
 * share across the fleet, so that teams that reach the entries unevenly still get their shares.
 */

/** Use of one team across the fleet, for correcting its weight. */
export interface TeamUsage {
    readonly team: string;
    readonly share: number;
    /** Slots used lately on all entries. */
    readonly usedSlots: number;
    /** Whether work of the team waits anywhere; only then is its use less than it wants. */
    readonly isBacklogged: boolean;
}

const correctionGain = 0.06;
const maxCorrection = 8;
const correctionDecay = 0.9;

/** Clocks and corrections of the teams in one pool. */
export class VirtualClock {
    private readonly virtualTimes = new Map<string, number>();
    private readonly corrections = new Map<string, number>();
    private systemVirtualTime = 0;

    static create(): VirtualClock {
        return new VirtualClock();
    }

    /** Position of a team's clock; the smallest is next. */
    virtualTime(team: string): number {
        return this.virtualTimes.get(team) ?? this.systemVirtualTime;
    }

    /** Brings the clock of a team that was idle up to the others, so that it cannot claim time it did not ask for. */
    activate(team: string): void {
        this.virtualTimes.set(team, Math.max(this.virtualTime(team), this.systemVirtualTime));
    }

    /** Notes that a team was next, at its position. */
    advanceTo(team: string): void {
        this.systemVirtualTime = Math.max(this.systemVirtualTime, this.virtualTime(team));
    }

    /** Advances a team's clock by slot time in milliseconds; negative to correct an estimate. */
    charge(team: string, ms: number, share: number): void {
        const weight = share * (this.corrections.get(team) ?? 1);
        this.virtualTimes.set(team, this.virtualTime(team) + ms / weight);
    }

    /** Moves the corrections of waiting teams towards equal use over share; lets those of the others relax. */
    adjustCorrections(uses: readonly TeamUsage[]): void {
        const waiting = uses.filter(each => each.isBacklogged);
        const totalUse = waiting.reduce((sum, { usedSlots: use }) => sum + use, 0);
        const totalShare = waiting.reduce((sum, { share }) => sum + share, 0);
        this.decayCorrections(new Set(waiting.map(each => each.team)));
        if (waiting.length < 2 || totalUse <= 0) {
            return;
        }
        for (const { team, share, usedSlots: use } of waiting) {
            const fair = totalUse * share / totalShare;
            const factor = (fair / Math.max(use, fair / maxCorrection)) ** correctionGain;
            const next = (this.corrections.get(team) ?? 1) * factor;
            this.corrections.set(
                team,
                Math.min(maxCorrection, Math.max(1 / maxCorrection, next)),
            );
        }
    }

    private decayCorrections(waiting: ReadonlySet<string>): void {
        for (const [team, correction] of this.corrections) {
            if (!waiting.has(team)) {
                this.corrections.set(team, correction ** correctionDecay);
            }
        }
    }
}
