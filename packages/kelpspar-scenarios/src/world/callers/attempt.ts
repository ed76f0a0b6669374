import type { RequestContext } from "kelpspar-daemon";
import type { EndRecord, FailureRecord } from "kelpspar-shared";
import type { WorldDaemon } from "../daemon/world_daemon.ts";

/** The outcome of an attempt for its caller. */
export type AttemptEnding =
  | { readonly type: "answered"; readonly record: EndRecord | FailureRecord }
  /** Refused before the answer started. */
  | { readonly type: "refused"; readonly record: FailureRecord }
  /** The daemon died or was unreachable. */
  | { readonly type: "broken" }
  /** The caller disconnected after a timeout. */
  | { readonly type: "left" };

/** One submission of a caller's request to one daemon. */
export interface Attempt {
  readonly daemon: WorldDaemon;
  readonly sentAt: number;
  readonly isResubmission: boolean;
  /** True for a lookup by key, which does not run the request. */
  readonly isLookUp: boolean;
  /** Set once the daemon accepted the request. */
  context?: RequestContext;
  /** Closes the connection on which the answer is read. */
  disconnect?: () => void;
  ending?: AttemptEnding;
  endedAt?: number;
  /** The text that the caller assembled from the records. */
  text: string;
  /** Errors that the caller found in the records. */
  readonly faults: string[];
}
