import type { DaemonAddress } from "../fleet/fleet_digest.ts";
import type { RelayAnswer } from "../relay/relay_answer.ts";

/** Result of relaying a request to another daemon. */
export interface PeerResult {
  readonly peer: DaemonAddress;
  readonly answer: RelayAnswer;
}

/** Closes the connection of a relayed answer that won't be read. */
export function closePeerAnswer({ answer }: PeerResult): void {
  if (answer.type === "answered") answer.answer.close();
}

/** True for an answer that isn't an endpoint's failure. */
export function isSuccessfulPeer({ answer }: PeerResult): boolean {
  return answer.type === "answered" && answer.answer.status < 500;
}
