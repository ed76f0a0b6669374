import type { DaemonDigest } from "./daemon_digest.ts";

/**
 * - `live`: no sign of failure.
 * - `suspect`: silent for longer than the digest interval allows.
 * - `leaving`: accepts no new requests.
 * - `gone`: considered failed or removed.
 */
export type MemberState = "live" | "suspect" | "leaving" | "gone";

/** Another daemon in this daemon's membership view. */
export interface Member {
  readonly daemonId: string;
  readonly address: string;
  /** Port for callers. */
  readonly port: number;
  readonly availabilityZone: string;
  readonly state: MemberState;
  /** Last digest; absent before the first. */
  readonly digest?: DaemonDigest;
  /** Time since the last digest, milliseconds; absent before the first. */
  readonly silenceMilliseconds?: number;
}
