import type { TimerService } from "kelpspar-shared";
import type { ChainRunner } from "./chain_runner.ts";
import type { FleetMembership } from "../fleet/fleet_membership.ts";
import type { OwnState } from "../fleet/member_record.ts";
import type { PeerClient } from "../fleet/peer_client.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { ChainOutcome } from "../pieces/chain_outcome.ts";
import type { ChainRelease, ChainRequest } from "../pieces/chain_request.ts";
import type { PieceCoordinator } from "../pieces/piece_coordinator.ts";
import { isConnectionRefused } from "../fleet/is_connection_refused.ts";

/** The one key by which all daemons rank the coordinators of stages. */
const COORDINATOR_KEY = "stages";
/** Other daemons that are asked before this one runs a chain itself. */
const MOST_REMOTE_TRIES = 2;
/**
 * Silence after which a coordinator is asked for a sign of life, milliseconds.
 * In a large fleet word of it arrives later than that when nobody asks.
 */
const PROBE_MILLISECONDS = 1_000;
/** How often a chain looks whether its coordinator fell silent. */
const WATCH_MILLISECONDS = 150;

/**
 * A daemon that just started hears others within so long, milliseconds: a read
 * of the store and an exchange, beside a start of all.
 */
const SETTLE_MILLISECONDS = 300;
/** How often it looks whether it heard one, milliseconds. */
const SETTLE_CHECK_MILLISECONDS = 15;

/** What chains are sent with. */
export interface ChainClientOptions {
  readonly daemonId: string;
  readonly membership: FleetMembership;
  readonly peers: PeerClient;
  readonly local: PieceCoordinator;
  readonly timer: TimerService;
  readonly log: GatewayLog;
  readonly ownState: () => OwnState;
  /** Asks a daemon for a sign of life. */
  readonly probe: (peer: string) => void;
}

/**
 * Gets chains run by the daemon that gathers pieces for all. A coordinator that
 * dies, stands still or is cut off is noticed by its connection or its silence;
 * the next in rank, and in the end this daemon, runs the chain again. Pieces
 * may be made twice, so that this is safe.
 */
export class ChainClient implements ChainRunner {
  readonly #options: ChainClientOptions;

  readonly #startedAt: number;

  constructor(options: ChainClientOptions) {
    this.#options = options;
    this.#startedAt = options.timer.now();
  }

  async run(request: ChainRequest, gone: AbortSignal): Promise<ChainOutcome> {
    const { timer, log } = this.#options;
    const startedAt = timer.now();
    const outcome = await this.#runSomewhere(request, gone);
    log.info("stages ended", {
      attempt: request.attemptId,
      outcome: outcome.type === "done" ? "done" : outcome.reason,
      coordinator: this.coordinator,
      tookMilliseconds: Math.round(timer.now() - startedAt),
      objectiveMilliseconds: Math.round(request.objectiveMilliseconds),
      priority: request.priority,
      reader: outcome.type === "done" ? outcome.place?.endpointId : undefined,
    });
    return outcome;
  }

  async #runSomewhere(
    request: ChainRequest,
    gone: AbortSignal,
  ): Promise<ChainOutcome> {
    const { local, timer } = this.#options;
    const startedAt = timer.now();
    await this.#settle();
    for (const daemonId of this.#candidates()) {
      const spent = timer.now() - startedAt;
      const rest = {
        ...request,
        remainingMilliseconds: request.remainingMilliseconds - spent,
        objectiveMilliseconds: request.objectiveMilliseconds - spent,
      };
      if (daemonId === this.#options.daemonId) return local.run(rest, gone);
      const outcome = await this.#runRemote(daemonId, rest, gone);
      if (outcome !== undefined || gone.aborted) {
        return outcome ??
          { type: "refused", reason: "too_late", retryAfterMilliseconds: 0 };
      }
    }
    return local.run(request, gone);
  }

  /** Frees results by the coordinator, which counts the room that they take. */
  release(release: ChainRelease): void {
    const { daemonId, local, membership, peers } = this.#options;
    const first = this.#candidates()[0];
    const address = first === undefined
      ? undefined
      : membership.findAddress(first);
    if (first === daemonId || address === undefined) {
      local.release(release);
      return;
    }
    peers.release(address.peer, release).catch((error: unknown) => {
      this.#options.log.warn("release by coordinator failed", {
        daemon: first,
        reason: String(error),
      });
      local.release(release);
    });
  }

  /** The daemon that runs the stages of all, as this one sees it. */
  get coordinator(): string | undefined {
    return this.#candidates()[0];
  }

  /**
   * Waits until this daemon has heard another one or can't expect to any more.
   * What goes wrong otherwise: after all daemons were killed at once each runs
   * the stages of its first callers itself, and for the seconds that those take
   * eight of them fill the endpoints' room with results that wait for room.
   */
  async #settle(): Promise<void> {
    const { membership, timer } = this.#options;
    const isSettled = (): boolean =>
      timer.now() - this.#startedAt >= SETTLE_MILLISECONDS ||
      membership.liveMembers(timer.now()).length > 0;
    while (!isSettled()) {
      await new Promise<void>((resolve) =>
        timer.registerTimeout(resolve, SETTLE_CHECK_MILLISECONDS)
      );
    }
  }

  #candidates(): readonly string[] {
    const { daemonId, membership, timer, ownState } = this.#options;
    const ranked = membership.rankedDaemons(COORDINATOR_KEY, {
      now: timer.now(),
      own: ownState(),
    });
    const remote = ranked.filter((one) => one !== daemonId)
      .slice(0, MOST_REMOTE_TRIES);
    return ranked[0] === daemonId ? [daemonId] : [...remote, daemonId];
  }

  async #runRemote(
    daemonId: string,
    request: ChainRequest,
    gone: AbortSignal,
  ): Promise<ChainOutcome | undefined> {
    const { membership, peers, timer, log } = this.#options;
    const address = membership.findAddress(daemonId);
    if (address === undefined) return undefined;
    const abort = new AbortController();
    const stop = (): void => abort.abort();
    gone.addEventListener("abort", stop, { once: true });
    const stopWatch = timer.registerInterval(() => {
      const now = timer.now();
      const silence = membership.silenceMillisecondsOf(daemonId, now);
      if (membership.isStalled(daemonId, now)) stop();
      else if (silence > PROBE_MILLISECONDS) this.#options.probe(address.peer);
    }, WATCH_MILLISECONDS);
    try {
      return await peers.runChain(address.peer, request, abort.signal);
    } catch (error) {
      if (!gone.aborted) {
        membership.reportFailedCall(address.peer, {
          isRefused: isConnectionRefused(error),
          now: timer.now(),
        });
        log.warn("coordinator lost", {
          attempt: request.attemptId,
          daemon: daemonId,
          reason: error instanceof Error ? error.message : String(error),
        });
      }
      return undefined;
    } finally {
      stopWatch();
      gone.removeEventListener("abort", stop);
    }
  }
}
