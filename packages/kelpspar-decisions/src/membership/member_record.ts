import type { DaemonDigest } from "./daemon_digest.ts";
import type { Member, MemberState } from "./member.ts";

/** A row of the VM list that is a daemon. */
export interface ListedDaemon {
  readonly daemonId: string;
  readonly incarnation: string;
  readonly address: string;
  readonly port: number;
  readonly availabilityZone: string;
  readonly state: "live" | "leaving";
}

/** After which silence a daemon is suspect, and after which it is gone. */
export interface SilenceLimits {
  readonly suspectAfterMilliseconds: number;
  readonly goneAfterMilliseconds: number;
}

/** What a state is derived from beside the record itself. */
export interface StateContext extends SilenceLimits {
  readonly now: number;
  readonly isLeaving: boolean;
  /** True when the daemon's digests are sent to this one. */
  readonly isHeardRegularly: boolean;
  /** Silence before this time is this daemon's own fault. */
  readonly silenceCountsFrom: number;
}

/** What the VM list and the daemon's own digests said of it. */
export class MemberRecord {
  readonly daemonId: string;
  row: ListedDaemon | undefined;
  digest: DaemonDigest | undefined;
  heardAt: number | undefined;
  isListed = false;
  /** When the list began, or ceased, to show this incarnation. */
  listChangedAt: number;
  goneSince: number | undefined;

  constructor(daemonId: string, now: number) {
    this.daemonId = daemonId;
    this.listChangedAt = now;
  }

  /** Forgets an earlier incarnation of the VM. */
  renew(now: number): void {
    this.digest = undefined;
    this.heardAt = undefined;
    this.listChangedAt = now;
  }

  stateAt(context: StateContext): MemberState {
    const { now, silenceCountsFrom } = context;
    const spokeAt = this.heardAt ?? this.listChangedAt;
    const silence = now - Math.max(spokeAt, silenceCountsFrom);
    const isSilent = silence > context.suspectAfterMilliseconds;
    if (!this.isListed && (isSilent || !this.#spokeSinceListChange())) {
      return "gone";
    }
    const canBeJudged = context.isHeardRegularly || !this.isListed;
    if (canBeJudged && silence > context.goneAfterMilliseconds) return "gone";
    if (context.isLeaving) return "leaving";
    return canBeJudged && isSilent ? "suspect" : "live";
  }

  toMember(state: MemberState, now: number): Member | undefined {
    const { digest, heardAt } = this;
    const place = digest ?? this.row;
    if (place === undefined) return undefined;
    const { address, port, availabilityZone } = place;
    return {
      daemonId: this.daemonId,
      address,
      port,
      availabilityZone,
      state,
      ...(digest === undefined ? {} : { digest }),
      ...(heardAt === undefined ? {} : { silenceMilliseconds: now - heardAt }),
    };
  }

  /** A list lags: who still speaks after it was dropped is there. */
  #spokeSinceListChange(): boolean {
    return this.heardAt !== undefined && this.heardAt >= this.listChangedAt;
  }
}
