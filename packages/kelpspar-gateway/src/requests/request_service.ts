import type { ServiceRoute } from "../configuration/service_route.ts";
import type { ClientAccount } from "../configuration/serving_configuration.ts";
import type { ChainOutcome } from "../pieces/chain_outcome.ts";
import type { ChainStage } from "../pieces/chain_request.ts";
import type { RequestParts } from "./request_parts.ts";
import type { OwnAnswer, RequestReply } from "./request_reply.ts";
import type { ServingRequest } from "./serving_request.ts";
import { shortestPause } from "../endpoints/shortest_pause.ts";
import { chainOf, readerOf, stagesOf } from "./chain_of_request.ts";
import { chooseTarget } from "./choose_target.ts";
import { findPlace } from "./find_place.ts";
import { LimitedTrials } from "./limited_trials.ts";
import { RequestDispatch } from "./request_dispatch.ts";
import { RequestRun } from "./request_run.ts";
import { NO_ENDPOINT_RETRY_MILLISECONDS } from "./retry_waits.ts";

/** Time in which a daemon that just started learns its configuration, ms. */
const NO_CONFIGURATION_RETRY_MILLISECONDS = 500;
/** A caller comes back to another daemon this long after one ended, ms. */
const ENDED_RETRY_MILLISECONDS = 250;
/** Chains are run again at most so often when their results were lost. */
const MOST_CHAIN_RUNS = 2;

/** Serves requests: route, key, stages, then the request itself. */
export class RequestService {
  readonly #parts: RequestParts;
  readonly #trials: LimitedTrials;
  readonly #open = new Set<RequestRun>();

  constructor(parts: RequestParts) {
    this.#parts = parts;
    this.#trials = new LimitedTrials(parts);
  }

  /** Requests that have no final answer yet. */
  get open(): number {
    return this.#open.size;
  }

  /**
   * Gives every open request its final answer, since this daemon ends. Left to
   * the end of the process their connections close without one: a caller whose
   * request waits for its stages can't know that it didn't run.
   */
  endOpen(): void {
    for (const run of [...this.#open]) {
      if (run.firstByteAt !== undefined) run.breakOff("daemon ends");
      else run.giveUp("daemon ends", ENDED_RETRY_MILLISECONDS);
    }
  }

  async serve(request: ServingRequest, reply: RequestReply): Promise<void> {
    const run = this.#accept(request, reply);
    if (run === undefined) return;
    if (run.isQuarantined) {
      run.rejectQuarantined();
      return;
    }
    const unservable = findUnservable(run);
    if (unservable !== undefined) {
      run.giveUp(unservable.reason, unservable.retryAfterMilliseconds);
      return;
    }
    this.#open.add(run);
    try {
      await this.#run(run);
    } catch (error) {
      this.#parts.log.warn("request broke", {
        attempt: request.attemptId,
        reason: error instanceof Error ? error.stack : String(error),
      });
      run.giveUp("internal error", NO_CONFIGURATION_RETRY_MILLISECONDS);
    } finally {
      this.#open.delete(run);
    }
  }

  #accept(
    request: ServingRequest,
    reply: RequestReply,
  ): RequestRun | undefined {
    const { configuration, random, timer } = this.#parts;
    const table = configuration.table;
    if (table === undefined) {
      return this.#refuse(request, reply, {
        status: 503,
        retryAfterMilliseconds: NO_CONFIGURATION_RETRY_MILLISECONDS,
        message: "no configuration yet",
      });
    }
    const path = request.target.split("?", 1)[0] ?? "";
    const route = table.findRoute(request.host, path);
    if (route === undefined) {
      return this.#refuse(request, reply, {
        status: 404,
        message: "no such route",
      });
    }
    const account = this.#findAccount(request, route);
    if (account === "unknown") {
      return this.#refuse(request, reply, {
        status: 401,
        message: "unknown key",
      });
    }
    const service = chooseTarget(route.targets, random);
    if (service === undefined || request.attemptId === undefined) {
      return this.#refuse(request, reply, {
        status: service === undefined ? 503 : 400,
        retryAfterMilliseconds: NO_CONFIGURATION_RETRY_MILLISECONDS,
        message: service === undefined ? "route without service" : "no id",
      });
    }
    return new RequestRun({
      parts: this.#parts,
      request,
      reply,
      route,
      service,
      account,
      arrivedAt: timer.now(),
    });
  }

  #findAccount(
    request: ServingRequest,
    route: ServiceRoute,
  ): ClientAccount | undefined | "unknown" {
    const { table } = this.#parts.configuration;
    if (table?.configuration.accounts === undefined) return undefined;
    const { callerKey } = request;
    const account = callerKey === undefined
      ? undefined
      : table.findAccount(callerKey);
    return account ?? (route.isPublic ? undefined : "unknown");
  }

  #refuse(
    request: ServingRequest,
    reply: RequestReply,
    answer: OwnAnswer,
  ): undefined {
    reply.refuse(answer);
    this.#parts.log.info("request refused", {
      attempt: request.attemptId,
      status: answer.status,
      reason: answer.message,
      configuration: this.#parts.configuration.version,
    });
    this.#parts.metrics.countRequest({
      account: "",
      route: "",
      outcome: "refused",
      seconds: 0,
      firstByteSeconds: undefined,
    });
    return undefined;
  }

  async #run(run: RequestRun): Promise<void> {
    const { route } = run.options;
    const stages = stagesOf(run);
    const hasPieces = stages.some(({ pieces }) => pieces > 0);
    // One for all runs of the chain: it knows how far a stream has come.
    const dispatch = new RequestDispatch(run, route.stages.length > 0);
    for (let chainRuns = 1; run.isOpen; chainRuns++) {
      if (hasPieces) {
        if (!await this.#runChain(run, stages)) return;
      } else if (this.#isPlaced(run)) {
        await findPlace(run);
      }
      const end = await dispatch.run();
      if (end !== "input_gone" || !run.isOpen) return;
      if (!hasPieces || chainRuns >= MOST_CHAIN_RUNS) {
        dispatch.giveUp("stage results were lost");
      }
    }
  }

  /** Whether the coordinator is asked where a request without pieces goes. */
  #isPlaced(run: RequestRun): boolean {
    return readerOf(run) !== undefined ||
      this.#trials.take(run.options.service, run.now());
  }

  async #runChain(
    run: RequestRun,
    stages: readonly ChainStage[],
  ): Promise<boolean> {
    const request = chainOf(run, { stages, reader: readerOf(run) });
    const outcome = await this.#parts.chains.run(request, run.stop.signal);
    return this.#takeOutcome(run, outcome);
  }

  #refuseStages(
    run: RequestRun,
    { reason, retryAfterMilliseconds }: Extract<
      ChainOutcome,
      { type: "refused" }
    >,
  ): void {
    run.giveUp(`stages: ${reason}`, retryAfterMilliseconds);
  }

  #takeOutcome(run: RequestRun, outcome: ChainOutcome): boolean {
    if (outcome.type === "refused") {
      // A stream that went on elsewhere has begun; it can only be broken off.
      if (run.firstByteAt !== undefined) run.breakOff(outcome.reason);
      else this.#refuseStages(run, outcome);
      return false;
    }
    run.holdResults(outcome.results, outcome.place);
    return run.isOpen;
  }
}

/**
 * Why no endpoint could take the request once its stages are done, if that is
 * known now: stages would be made in vain and the caller told late.
 */
function findUnservable(
  run: RequestRun,
): { reason: string; retryAfterMilliseconds: number } | undefined {
  const { parts, service, route } = run.options;
  const { book } = parts;
  const endpoints = book.availableFor(service);
  // A book without any endpoint is one that hasn't been read yet.
  if (endpoints.length === 0 && book.size > 0) {
    return {
      reason: "no endpoint",
      retryAfterMilliseconds: NO_ENDPOINT_RETRY_MILLISECONDS,
    };
  }
  const pause = shortestPause(endpoints, run.now());
  const hasPieces = stagesOf(run).some(({ pieces }) => pieces > 0);
  const mayWait = hasPieces ? route.objectiveMilliseconds : 0;
  if (pause <= mayWait) return undefined;
  return { reason: "all endpoints pause", retryAfterMilliseconds: pause };
}
