import type { CallerBudget } from "kelpspar-http";
import type { RandomSource, TimerService } from "kelpspar-shared";
import type { MalformedAnswers } from "../exchange/malformed_answers.ts";
import type { DaemonAddress } from "../fleet/fleet_digest.ts";
import type { FleetMembership } from "../fleet/fleet_membership.ts";
import type { IsolationMonitor } from "../isolation/isolation_monitor.ts";
import type { RelayAnswer } from "./relay_answer.ts";
import type { RelayMessage } from "./relay_message.ts";
import { chooseRelayPeer } from "./choose_relay_peer.ts";
import { relayRequest } from "./relay_client.ts";
import { relayMessageBytes } from "./relay_message.ts";

/** How often a relayed call checks that its daemon is alive. */
const CHECK_INTERVAL_MILLISECONDS = 150;

/** Dependencies of a `PeerRelay`. */
export interface PeerRelayOptions {
  readonly isolation: Pick<IsolationMonitor, "isIsolated" | "verified">;
  readonly membership: Pick<
    FleetMembership,
    "relayCandidates" | "isStalled" | "reportFailedCall"
  >;
  /** Name of the stage coordinator. */
  readonly coordinator: () => string | undefined;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly malformedAnswers: Pick<MalformedAnswers, "publish">;
  /** Bounds the encoded copies of requests that are held at the same time. */
  readonly budget: CallerBudget;
}

/** One relayed request. */
export interface PeerRelayCall {
  readonly peer: DaemonAddress;
  readonly message: RelayMessage;
  /** Called once if the other daemon falls silent before its answer begins. */
  readonly onStalled?: (() => void) | undefined;
  readonly signal: AbortSignal;
}

/** Has other daemons serve requests that this one can't. */
export class PeerRelay {
  readonly #options: PeerRelayOptions;
  readonly #open = new Map<string, number>();
  #sent = 0;

  constructor(options: PeerRelayOptions) {
    this.#options = options;
  }

  /** Number of requests that were relayed since the start. */
  get sent(): number {
    return this.#sent;
  }

  /** Whether requests are relayed now. */
  get isNeeded(): boolean {
    return this.#options.isolation.isIsolated;
  }

  /** Resolves to `isNeeded` once no check of the connections is in progress. */
  verified(): Promise<boolean> {
    return this.#options.isolation.verified();
  }

  /**
   * The daemon to relay a request to, out of `among` if that is given; undefined
   * if none is left.
   */
  choosePeer(
    tried: ReadonlySet<string>,
    among?: ReadonlySet<string>,
  ): DaemonAddress | undefined {
    const { membership, coordinator, timer, random } = this.#options;
    return chooseRelayPeer({
      candidates: membership.relayCandidates(timer.now()).filter((
        { address },
      ) => among === undefined || among.has(address.daemonId)),
      tried,
      coordinator: coordinator(),
      openAt: (daemonId) => this.#open.get(daemonId) ?? 0,
      random,
    });
  }

  /** Never throws. The answer's body may still be arriving when it resolves. */
  async send(call: PeerRelayCall): Promise<RelayAnswer> {
    const { membership, timer, malformedAnswers, budget } = this.#options;
    const { peer, message, onStalled, signal } = call;
    const { daemonId } = peer;
    const copyBytes = relayMessageBytes(message);
    if (!budget.admit(copyBytes)) {
      return { type: "unreachable", reason: "no memory for a copy" };
    }
    const copy = budget.open({ state: "kept", address: peer.peer });
    copy.set(copyBytes);
    const stopCheck = timer.registerInterval(() => {
      if (!membership.isStalled(daemonId, timer.now())) return;
      stopCheck();
      onStalled?.();
    }, CHECK_INTERVAL_MILLISECONDS);
    this.#open.set(daemonId, (this.#open.get(daemonId) ?? 0) + 1);
    this.#sent++;
    try {
      const answer = await relayRequest({
        peer: peer.peer,
        message,
        timer,
        malformedAnswers,
        signal,
      });
      if (answer.type === "unreachable" && !signal.aborted) {
        membership.reportFailedCall(peer.peer, {
          isRefused: false,
          now: timer.now(),
        });
      }
      return answer;
    } finally {
      copy.end();
      stopCheck();
      this.#open.set(daemonId, (this.#open.get(daemonId) ?? 1) - 1);
    }
  }
}
