import type { DaemonDigest } from "./daemon_digest.ts";

/**
 * `live`: works as far as is known. `suspect`: silent for longer than its
 * digests may be apart. `leaving`: takes no new requests. `gone`: not there.
 */
export type MemberState = "live" | "suspect" | "leaving" | "gone";

/** Another daemon, as this one knows it. */
export interface Member {
  readonly daemonId: string;
  readonly address: string;
  /** Where callers connect. */
  readonly port: number;
  readonly availabilityZone: string;
  readonly state: MemberState;
  /** Its last digest; absent before one came. */
  readonly digest?: DaemonDigest;
  /** Time since its last digest, milliseconds; absent before one came. */
  readonly silenceMilliseconds?: number;
}
