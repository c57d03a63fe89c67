/**
 * Whose turn it is in one pool at one entry. Each team has a clock that advances by slot time over weight; the team
 * whose clock is furthest behind is next. Weights start at the shares and are corrected slowly towards equal use over
 * share across the fleet, so that teams that reach the entries unevenly still get their shares.
 */

/** Use of one team across the fleet, for correcting its weight. */
export interface FleetUse {
    readonly team: string;
    readonly share: number;
    /** Slots used lately on all entries. */
    readonly use: number;
    /** Whether work of the team waits anywhere; only then is its use less than it wants. */
    readonly isWaiting: boolean;
}

const gain = 0.06;
const strongestCorrection = 8;
const relaxation = 0.9;

/** Clocks and corrections of the teams in one pool. */
export class ShareClock {
    private readonly positions = new Map<string, number>();
    private readonly corrections = new Map<string, number>();
    private latest = 0;

    static create(): ShareClock {
        return new ShareClock();
    }

    /** Position of a team's clock; the smallest is next. */
    position(team: string): number {
        return this.positions.get(team) ?? this.latest;
    }

    /** Brings the clock of a team that was idle up to the others, so that it cannot claim time it did not ask for. */
    activate(team: string): void {
        this.positions.set(team, Math.max(this.position(team), this.latest));
    }

    /** Notes that a team was next, at its position. */
    serve(team: string): void {
        this.latest = Math.max(this.latest, this.position(team));
    }

    /** Advances a team's clock by slot time in milliseconds; negative to correct an estimate. */
    charge(team: string, ms: number, share: number): void {
        const weight = share * (this.corrections.get(team) ?? 1);
        this.positions.set(team, this.position(team) + ms / weight);
    }

    /** Moves the corrections of waiting teams towards equal use over share; lets those of the others relax. */
    correct(uses: readonly FleetUse[]): void {
        const waiting = uses.filter(each => each.isWaiting);
        const totalUse = waiting.reduce((sum, { use }) => sum + use, 0);
        const totalShare = waiting.reduce((sum, { share }) => sum + share, 0);
        this.relax(new Set(waiting.map(each => each.team)));
        if (waiting.length < 2 || totalUse <= 0) {
            return;
        }
        for (const { team, share, use } of waiting) {
            const fair = totalUse * share / totalShare;
            const factor = (fair / Math.max(use, fair / strongestCorrection)) ** gain;
            const next = (this.corrections.get(team) ?? 1) * factor;
            this.corrections.set(
                team,
                Math.min(strongestCorrection, Math.max(1 / strongestCorrection, next)),
            );
        }
    }

    private relax(waiting: ReadonlySet<string>): void {
        for (const [team, correction] of this.corrections) {
            if (!waiting.has(team)) {
                this.corrections.set(team, correction ** relaxation);
            }
        }
    }
}
