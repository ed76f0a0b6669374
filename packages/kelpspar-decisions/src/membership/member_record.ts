import type { DaemonDigest } from "./daemon_digest.ts";
import type { Member, MemberState } from "./member.ts";

/** A daemon's row in the VM list. */
export interface ListedDaemon {
  readonly daemonId: string;
  readonly incarnation: string;
  readonly address: string;
  readonly port: number;
  readonly availabilityZone: string;
  readonly state: "live" | "leaving";
}

/** Silence after which a daemon is suspect, and after which it is gone. */
export interface SilenceLimits {
  readonly suspectAfterMilliseconds: number;
  readonly goneAfterMilliseconds: number;
}

/** Inputs for deriving a member state, in addition to the record. */
export interface StateContext extends SilenceLimits {
  readonly now: number;
  readonly isLeaving: boolean;
  /** True if the daemon sends its digests to this one. */
  readonly isDigestExpected: boolean;
  /** Silence before this time was caused by a pause of this daemon. */
  readonly silenceMeasuredFrom: number;
}

/** State of a daemon according to the VM list and its own digests. */
export class MemberRecord {
  readonly daemonId: string;
  row: ListedDaemon | undefined;
  digest: DaemonDigest | undefined;
  digestReceivedAt: number | undefined;
  isListed = false;
  /** When the list started or stopped showing this incarnation. */
  listChangedAt: number;
  goneSince: number | undefined;

  constructor(daemonId: string, now: number) {
    this.daemonId = daemonId;
    this.listChangedAt = now;
  }

  /** Resets the state of an earlier incarnation of the VM. */
  resetIncarnation(now: number): void {
    this.digest = undefined;
    this.digestReceivedAt = undefined;
    this.listChangedAt = now;
  }

  stateAt(context: StateContext): MemberState {
    const { now, silenceMeasuredFrom } = context;
    const lastSeenAt = this.digestReceivedAt ?? this.listChangedAt;
    const silence = now - Math.max(lastSeenAt, silenceMeasuredFrom);
    const isSilent = silence > context.suspectAfterMilliseconds;
    if (!this.isListed && (isSilent || !this.#sentDigestSinceListChange())) {
      return "gone";
    }
    const canBeJudged = context.isDigestExpected || !this.isListed;
    if (canBeJudged && silence > context.goneAfterMilliseconds) return "gone";
    if (context.isLeaving) return "leaving";
    return canBeJudged && isSilent ? "suspect" : "live";
  }

  toMember(state: MemberState, now: number): Member | undefined {
    const { digest, digestReceivedAt } = this;
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
      ...(digestReceivedAt === undefined
        ? {}
        : { silenceMilliseconds: now - digestReceivedAt }),
    };
  }

  /**
   * The list lags: a daemon that still sends digests after its removal from the
   * list is running.
   */
  #sentDigestSinceListChange(): boolean {
    return this.digestReceivedAt !== undefined &&
      this.digestReceivedAt >= this.listChangedAt;
  }
}
