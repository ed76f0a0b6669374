import type { ReceivedAnswer } from "../requests/send_result.ts";
import type { RelayRefusal } from "./relay_refusal.ts";

/** Outcome of relaying a request to another daemon. */
export type RelayAnswer =
  /** An endpoint's answer, which may still be arriving. */
  | { readonly type: "answered"; readonly answer: ReceivedAnswer }
  /** The other daemon's own answer. */
  | { readonly type: "refused"; readonly refusal: RelayRefusal }
  /** No connection was established, so nothing was sent. */
  | { readonly type: "unreachable"; readonly reason: string }
  /** The request was sent and may have run. */
  | { readonly type: "unknown"; readonly reason: string };
