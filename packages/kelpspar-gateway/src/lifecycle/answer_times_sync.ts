import type { RandomSource, TimerService } from "kelpspar-shared";
import type { FleetMembership } from "../fleet/fleet_membership.ts";
import type { PeerClient } from "../fleet/peer_client.ts";
import type { KnownAnswerTimes } from "./known_answer_times.ts";

/** How often another daemon is asked, once one has answered. */
const INTERVAL_MILLISECONDS = 20_000;
/** How often a starting daemon asks until one has answered. */
const FIRST_INTERVAL_MILLISECONDS = 1_000;

/** Dependencies of an `AnswerTimesSync`. */
export interface AnswerTimesSyncOptions {
  readonly answerTimes: KnownAnswerTimes;
  readonly peers: Pick<PeerClient, "answerTimes" | "sendTimes">;
  readonly membership: Pick<FleetMembership, "likelyReachable">;
  readonly timer: TimerService;
  readonly random: RandomSource;
}

/** Fetches the answer times that other daemons have seen. */
export class AnswerTimesSync {
  readonly #options: AnswerTimesSyncOptions;
  #nextAt = 0;

  constructor(options: AnswerTimesSyncOptions) {
    this.#options = options;
  }

  /** Starts fetching; returns the teardown. */
  register(): () => void {
    const { timer } = this.#options;
    return timer.registerInterval(() => {
      if (timer.now() >= this.#nextAt) void this.#fetch();
    }, FIRST_INTERVAL_MILLISECONDS);
  }

  async #fetch(): Promise<void> {
    const { answerTimes, peers, membership, timer, random } = this.#options;
    const reachable = membership.likelyReachable(timer.now());
    const peer = reachable[random.nextInteger(Math.max(1, reachable.length))];
    if (peer === undefined) return;
    try {
      answerTimes.fromArrival.merge(await peers.answerTimes(peer.peer));
      this.#nextAt = timer.now() + INTERVAL_MILLISECONDS;
      // Daemons of the previous build don't answer this call.
      answerTimes.fromSend.merge(await peers.sendTimes(peer.peer));
    } catch {
      // Another daemon is asked at the next interval.
    }
  }
}
