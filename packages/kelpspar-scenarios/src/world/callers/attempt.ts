import type { RequestContext } from "kelpspar-daemon";
import type { EndRecord, FailureRecord } from "kelpspar-shared";
import type { WorldDaemon } from "../daemon/world_daemon.ts";

/** How an attempt ended for its caller. */
export type AttemptEnding =
  | { readonly type: "answered"; readonly record: EndRecord | FailureRecord }
  /** Refused before an answer began. */
  | { readonly type: "refused"; readonly record: FailureRecord }
  /** The daemon died or was not there. */
  | { readonly type: "broken" }
  /** The caller left. */
  | { readonly type: "left" };

/** One submission of a caller's request to one daemon. */
export interface Attempt {
  readonly daemon: WorldDaemon;
  readonly sentAt: number;
  readonly isResubmission: boolean;
  /** True for a look-up by key, which starts nothing. */
  readonly isLookUp: boolean;
  /** Set once the daemon took the request. */
  context?: RequestContext;
  /** Closes the connection that reads the answer. */
  disconnect?: () => void;
  ending?: AttemptEnding;
  endedAt?: number;
  /** The text as the caller put it together. */
  text: string;
  /** What the caller found wrong with the records themselves. */
  readonly faults: string[];
}
