import type { TimerService } from "kelpspar-shared";
import type { ChainRunner } from "./chain_runner.ts";
import type { FleetMembership } from "../fleet/fleet_membership.ts";
import type { OwnState } from "../fleet/member_record.ts";
import type { PeerClient } from "../fleet/peer_client.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { ChainOutcome, PieceResult } from "../pieces/chain_outcome.ts";
import type { ChainRelease, ChainRequest } from "../pieces/chain_request.ts";
import type {
  PeerChainAnswer,
  PeerChainOutcome,
} from "../pieces/chain_redirect.ts";
import type { PieceCoordinator } from "../pieces/piece_coordinator.ts";
import { isConnectionRefused } from "../fleet/is_connection_refused.ts";
import { COORDINATOR_RANKING_KEY } from "../recovery/coordinator_ranking_key.ts";
import {
  decideRedirect,
  followsRedirect,
} from "../recovery/decide_redirect.ts";

/** Number of other daemons to try before this daemon runs a chain itself. */
const MAXIMUM_REMOTE_ATTEMPTS = 2;
/**
 * Silence after which the coordinator is probed. In a large fleet, gossip alone
 * delivers its heartbeats less often than that.
 */
const PROBE_MILLISECONDS = 1_000;
/**
 * Silence after which the chains of a suspected coordinator are run elsewhere: a
 * probe and two of its timeouts. A coordinator that is busy, as after a start of
 * all daemons, answers some probes too late; each chain that is run again then
 * adds to its load, and its results keep the endpoints' room until they expire.
 */
const LOST_MILLISECONDS = 2_200;
/** Interval at which a running chain checks that its coordinator is alive. */
const COORDINATOR_CHECK_INTERVAL_MILLISECONDS = 150;

/**
 * Time in which a heartbeat must arrive of a coordinator that another daemon
 * named. An earlier call to it may hang until its connection times out.
 */
const UNHEARD_MILLISECONDS = 1_000;

/**
 * Time that a daemon needs after its start to receive a first heartbeat: one
 * read of the store and one exchange, also while all daemons start at once.
 */
const STARTUP_GRACE_MILLISECONDS = 300;
/** Interval at which a starting daemon checks for a first heartbeat. */
const STARTUP_CHECK_INTERVAL_MILLISECONDS = 15;

/** Options of a `ChainClient`. */
export interface ChainClientOptions {
  readonly daemonId: string;
  readonly membership: FleetMembership;
  readonly peers: PeerClient;
  readonly localCoordinator: PieceCoordinator;
  readonly timer: TimerService;
  readonly log: GatewayLog;
  readonly ownState: () => OwnState;
  /** Requests a heartbeat from the daemon at address `peer`. */
  readonly probe: (peer: string) => void;
  /** True after the start while the coordinator is looked for. */
  readonly isDiscovering: () => boolean;
  /** Looks for a better coordinator while this daemon acts as one. */
  readonly recheckCoordinator: () => void;
}

/** Why a daemon gave no outcome; `lost` if it may have begun the chain. */
type RemoteFailure = "not_begun" | "lost";

/** Counts since the start of a `ChainClient`. */
export interface ChainClientCounts {
  /** How often this daemon used another coordinator than before. */
  readonly coordinatorChanges: number;
  /** Chains of other daemons that were directed to the coordinator. */
  readonly redirectedChains: number;
}

/**
 * Runs chains at the coordinator, the daemon that batches the pieces of all
 * daemons. A coordinator that crashed, stalled or is partitioned is detected by
 * a failed connection or missing heartbeats. The chain is then run again by the
 * daemon next in rank, and finally by this daemon. This is safe because pieces
 * may be executed more than once.
 */
export class ChainClient implements ChainRunner {
  readonly #options: ChainClientOptions;

  readonly #startedAt: number;
  readonly #counts = { coordinatorChanges: 0, redirectedChains: 0 };
  /** The coordinator of the last chain. */
  #lastCoordinator: string | undefined;
  readonly #coordinatorListeners = new Set<() => void>();

  constructor(options: ChainClientOptions) {
    this.#options = options;
    this.#startedAt = options.timer.now();
  }

  async run(
    request: ChainRequest,
    signal: AbortSignal,
  ): Promise<ChainOutcome> {
    const { timer, log } = this.#options;
    const startedAt = timer.now();
    const outcome = await this.#runWithFailover(request, signal);
    const tookMilliseconds = Math.round(timer.now() - startedAt);
    const { heldMilliseconds } = outcome;
    log.info("stages ended", {
      attempt: request.attemptId,
      outcome: outcome.type === "done" ? "done" : outcome.reason,
      coordinator: this.coordinator,
      tookMilliseconds,
      transitMilliseconds: heldMilliseconds === undefined
        ? undefined
        : Math.round(tookMilliseconds - heldMilliseconds),
      objectiveMilliseconds: Math.round(request.objectiveMilliseconds),
      priority: request.priority,
      reader: outcome.type === "done" ? outcome.place?.endpointId : undefined,
    });
    return outcome;
  }

  /** Calls `listener` when chains are run by another coordinator than before. */
  registerCoordinatorChange(listener: () => void): () => void {
    this.#coordinatorListeners.add(listener);
    return () => this.#coordinatorListeners.delete(listener);
  }

  /** What happened to chains since the start, for the metrics. */
  get counts(): ChainClientCounts {
    return this.#counts;
  }

  /** Runs a chain for another daemon, or names the coordinator. */
  runForPeer(
    request: ChainRequest,
    signal: AbortSignal,
  ): Promise<PeerChainAnswer> {
    const { daemonId, membership, probe } = this.#options;
    const coordinatorId = this.coordinator;
    const destination = decideRedirect({
      selfId: daemonId,
      coordinatorId,
      mayRedirect: request.mayRedirect === true,
    });
    const coordinator = membership.findAddress(coordinatorId ?? "");
    if (coordinatorId === daemonId) this.#options.recheckCoordinator();
    if (destination === "run_here" || coordinator === undefined) {
      return this.#runHereForPeer(request, signal);
    }
    this.#counts.redirectedChains++;
    // The sender may know that this coordinator is down.
    probe(coordinator.peer);
    return Promise.resolve({ type: "moved", coordinator });
  }

  /** Throws if this daemon is isolated; the sender tries the next one. */
  async #runHereForPeer(
    request: ChainRequest,
    signal: AbortSignal,
  ): Promise<PeerChainOutcome> {
    const { localCoordinator, ownState, timer } = this.#options;
    const startedAt = timer.now();
    const outcome = ownState().isIsolated
      ? undefined
      : await localCoordinator.run(request, signal);
    const isLost = outcome === undefined ||
      (outcome.type === "refused" && outcome.reason === "isolated");
    if (isLost) throw new Error("This daemon reaches no endpoint");
    return { ...outcome, heldMilliseconds: timer.now() - startedAt };
  }

  async #runWithFailover(
    request: ChainRequest,
    signal: AbortSignal,
  ): Promise<PeerChainOutcome> {
    const { localCoordinator: local, timer } = this.#options;
    const startedAt = timer.now();
    await this.#waitForMembership();
    this.#noteCoordinator();
    let mayHaveBegun = false;
    const remainingRequest = (): ChainRequest => {
      const elapsed = timer.now() - startedAt;
      return {
        ...request,
        remainingMilliseconds: request.remainingMilliseconds - elapsed,
        objectiveMilliseconds: request.objectiveMilliseconds - elapsed,
        earlierRunMilliseconds: mayHaveBegun
          ? (request.earlierRunMilliseconds ?? 0) + elapsed
          : request.earlierRunMilliseconds,
      };
    };
    for (const daemonId of this.#candidates()) {
      const rest = remainingRequest();
      if (daemonId === this.#options.daemonId) return local.run(rest, signal);
      const outcome = await this.#runOrFollow(daemonId, rest, signal);
      if (typeof outcome !== "string") return outcome;
      if (signal.aborted) {
        return {
          type: "refused",
          reason: "too_late",
          retryAfterMilliseconds: 0,
        };
      }
      mayHaveBegun ||= outcome === "lost";
    }
    return local.run(remainingRequest(), signal);
  }

  /** Frees results through the coordinator, which accounts for their room. */
  release(release: ChainRelease): void {
    const { daemonId, localCoordinator, membership, peers } = this.#options;
    const coordinatorId = this.#candidates()[0];
    const address = coordinatorId === undefined
      ? undefined
      : membership.findAddress(coordinatorId);
    if (coordinatorId === daemonId || address === undefined) {
      localCoordinator.release(release);
      return;
    }
    peers.release(address.peer, release).catch((error: unknown) => {
      this.#options.log.warn(
        "failed to release results through the coordinator",
        {
          daemon: coordinatorId,
          reason: String(error),
        },
      );
      localCoordinator.release(release);
    });
  }

  /** Has the coordinator free results that this daemon can't free itself. */
  releaseElsewhere(results: readonly PieceResult[]): void {
    const { daemonId, membership, peers, log } = this.#options;
    const address = membership.findAddress(this.coordinator ?? daemonId);
    if (address === undefined) return;
    peers.release(address.peer, { attemptId: "", results }).catch(
      (error: unknown) =>
        log.warn("failed to release results elsewhere", {
          daemon: address.daemonId,
          reason: String(error),
        }),
    );
  }

  /** The current coordinator in this daemon's membership view. */
  get coordinator(): string | undefined {
    return this.#candidates()[0];
  }

  /**
   * Waits for a first heartbeat of another daemon and until no better ranked
   * one may answer, or until the grace period after the start has passed.
   * Without the wait, daemons that restart together
   * each run the stages of their first callers themselves. For the seconds that
   * those stages take, eight daemons fill the endpoints' room with results of
   * chains that can't complete because they wait for room too.
   */
  async #waitForMembership(): Promise<void> {
    const { isDiscovering, membership, timer } = this.#options;
    const isSettled = (): boolean =>
      timer.now() - this.#startedAt >= STARTUP_GRACE_MILLISECONDS ||
      (membership.liveMembers(timer.now()).length > 0 && !isDiscovering());
    while (!isSettled()) {
      await new Promise<void>((resolve) =>
        timer.registerTimeout(resolve, STARTUP_CHECK_INTERVAL_MILLISECONDS)
      );
    }
  }

  #noteCoordinator(): void {
    const to = this.coordinator;
    if (to === this.#options.daemonId) this.#options.recheckCoordinator();
    const from = this.#lastCoordinator;
    if (to === from) return;
    this.#lastCoordinator = to;
    this.#counts.coordinatorChanges++;
    const { timer, log } = this.#options;
    const startedMillisecondsAgo = Math.round(timer.now() - this.#startedAt);
    log.info("coordinator changed", { from, to, startedMillisecondsAgo });
    for (const listener of this.#coordinatorListeners) listener();
  }

  #candidates(): readonly string[] {
    const { daemonId, membership, timer, ownState } = this.#options;
    const ranked = membership.rankedDaemons(COORDINATOR_RANKING_KEY, {
      now: timer.now(),
      own: ownState(),
    });
    const remote = ranked.filter((id) => id !== daemonId)
      .slice(0, MAXIMUM_REMOTE_ATTEMPTS);
    return ranked[0] === daemonId ? [daemonId] : [...remote, daemonId];
  }

  /** Runs a chain at a daemon, or at the coordinator that it names. */
  async #runOrFollow(
    daemonId: string,
    request: ChainRequest,
    signal: AbortSignal,
  ): Promise<PeerChainOutcome | RemoteFailure> {
    const { membership, probe, timer, log } = this.#options;
    const answer = await this.#runRemote(
      daemonId,
      { ...request, mayRedirect: true },
      signal,
    );
    if (typeof answer === "string" || answer.type !== "moved") return answer;
    const now = timer.now();
    const { coordinator } = answer;
    const newId = coordinator.daemonId;
    if (newId === this.#options.daemonId) {
      return this.#options.localCoordinator.run(request, signal);
    }
    const isFollowed = followsRedirect({
      state: membership.contactState(newId, now),
      isStarting: membership.isStarting(newId),
    });
    log.info("coordinator moved", {
      attempt: request.attemptId,
      from: daemonId,
      to: newId,
      isFollowed,
    });
    // Later chains go there without a redirect once it has answered.
    membership.add(coordinator, now);
    probe(coordinator.peer);
    const next = await this.#runRemote(
      isFollowed ? newId : daemonId,
      { ...request, mayRedirect: false },
      signal,
    );
    return typeof next !== "string" && next.type === "moved"
      ? "not_begun"
      : next;
  }

  async #runRemote(
    daemonId: string,
    request: ChainRequest,
    signal: AbortSignal,
  ): Promise<PeerChainAnswer | RemoteFailure> {
    const { membership, peers, timer, log } = this.#options;
    const address = membership.findAddress(daemonId);
    if (address === undefined) return "not_begun";
    const abortController = new AbortController();
    const stop = (): void => abortController.abort();
    signal.addEventListener("abort", stop, { once: true });
    const startedAt = timer.now();
    // The coordinator that another daemon named may not be heard here yet.
    let wasHeard = request.mayRedirect === true ||
      !membership.isStalled(daemonId, startedAt);
    const stopSilenceCheck = timer.registerInterval(() => {
      const now = timer.now();
      const silence = membership.silenceMillisecondsOf(daemonId, now);
      const isStalled = membership.isStalled(daemonId, now);
      wasHeard ||= !isStalled;
      const isUnheard = !wasHeard && now - startedAt <= UNHEARD_MILLISECONDS;
      if (isStalled && silence > LOST_MILLISECONDS && !isUnheard) {
        stop();
      } else if (silence > PROBE_MILLISECONDS) {
        this.#options.probe(address.peer);
      }
    }, COORDINATOR_CHECK_INTERVAL_MILLISECONDS);
    try {
      return await peers.runChain(
        address.peer,
        request,
        abortController.signal,
      );
    } catch (error) {
      const isRefused = isConnectionRefused(error);
      if (!signal.aborted) {
        membership.reportFailedCall(address.peer, {
          isRefused,
          now: timer.now(),
        });
        log.warn("coordinator lost", {
          attempt: request.attemptId,
          daemon: daemonId,
          reason: error instanceof Error ? error.message : String(error),
        });
      }
      return isRefused ? "not_begun" : "lost";
    } finally {
      stopSilenceCheck();
      signal.removeEventListener("abort", stop);
    }
  }
}
