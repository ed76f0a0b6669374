import type { DaemonAddress } from "../fleet/fleet_digest.ts";
import type { LogFields } from "../log/gateway_log.ts";
import type { FailoverPlaces } from "./failover_places.ts";
import type { FailoverRefusal } from "./failover_refusal.ts";
import type { PeerResult } from "./peer_result.ts";
import type { RequestRun } from "./request_run.ts";
import { NO_ATTEMPT } from "./failover_refusal.ts";
import { closePeerAnswer, isSuccessfulPeer } from "./peer_result.ts";
import { isStreamed } from "./send_result.ts";
import { lateRelayedAnswerMilliseconds } from "./stream_timeouts.ts";

/** Options of `PeerPlaces`. */
export interface PeerPlacesOptions {
  readonly run: RequestRun;
  /** The daemon whose answer is held. */
  readonly peer: DaemonAddress;
  /** Why no other daemon may be asked, if so. */
  readonly findObstacle: () => string | undefined;
  /** A daemon that wasn't asked; undefined if there is none. */
  readonly choosePeer: () => DaemonAddress | undefined;
  /** True if this daemon serves the stream itself once it is given up. */
  readonly mayServe: () => boolean;
  readonly sendTo: (
    peer: DaemonAddress,
    signal: AbortSignal,
  ) => Promise<PeerResult>;
}

/** Other daemons that may relay a stream whose daemon stalls. */
export class PeerPlaces implements FailoverPlaces<PeerResult> {
  readonly #options: PeerPlacesOptions;

  constructor(options: PeerPlacesOptions) {
    this.#options = options;
  }

  describeHeld(): LogFields {
    return { daemon: this.#options.peer.daemonId };
  }

  startStall(): () => void {
    return () => {};
  }

  get lateMilliseconds(): number {
    return lateRelayedAnswerMilliseconds(this.#options.run.options.route);
  }

  findObstacle(): FailoverRefusal | undefined {
    const { run, findObstacle } = this.#options;
    if (!run.hasAttemptsLeft) return NO_ATTEMPT;
    if (run.isQuarantined) return { reason: "quarantined" };
    if (run.isSuspect) return { reason: "a part may crash endpoints" };
    const reason = findObstacle();
    return reason === undefined ? undefined : { reason };
  }

  findMissingPlace(): FailoverRefusal | undefined {
    return this.#options.choosePeer() === undefined
      ? { reason: "no daemon" }
      : undefined;
  }

  goesOnOtherwise(): boolean {
    return this.#options.mayServe();
  }

  /** The other daemon makes the results of the stages. */
  prepare(): Promise<undefined> {
    return Promise.resolve(undefined);
  }

  send(signal: AbortSignal): Promise<PeerResult> | undefined {
    const { choosePeer, sendTo } = this.#options;
    const peer = choosePeer();
    return peer === undefined ? undefined : sendTo(peer, signal);
  }

  isReplacement(result: PeerResult): boolean {
    const { answer } = result;
    if (answer.type !== "answered") return false;
    const { run } = this.#options;
    return isStreamed(answer.answer, run.options.route) ||
      (isSuccessfulPeer(result) && run.firstByteAt === undefined);
  }

  recordFailure(result: PeerResult): FailoverRefusal {
    const { answer } = result;
    closePeerAnswer(result);
    const reason = `daemon: ${answer.type}`;
    return answer.type === "refused"
      ? {
        reason,
        retryAfterMilliseconds: answer.refusal.retryAfterMilliseconds,
      }
      : { reason };
  }

  close(result: PeerResult): void {
    closePeerAnswer(result);
  }
}
