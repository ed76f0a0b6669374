import type { ServiceRoute } from "../configuration/service_route.ts";
import type { ClientAccount } from "../configuration/serving_configuration.ts";
import type { ChainOutcome, ChainRefusal } from "../pieces/chain_outcome.ts";
import type { ChainStage } from "../pieces/chain_request.ts";
import type { RelayMessage } from "../relay/relay_message.ts";
import type { RequestRefusal } from "./shutdown_admission.ts";
import type { RequestDependencies } from "./request_dependencies.ts";
import type { DaemonAnswer, RequestReply } from "./request_reply.ts";
import type { RequestRunOptions } from "./request_run.ts";
import type { ServingRequest } from "./serving_request.ts";
import { shortestPause } from "../endpoints/shortest_pause.ts";
import {
  createChainReader,
  createChainRequest,
  createChainStages,
} from "./create_chain_request.ts";
import { chooseTarget } from "./choose_target.ts";
import { requestPlacement } from "./request_placement.ts";
import { LimitedEndpointProbes } from "./limited_endpoint_probes.ts";
import { RequestDispatcher } from "./request_dispatcher.ts";
import { RequestRun } from "./request_run.ts";
import { ShutdownAdmission } from "./shutdown_admission.ts";
import { QUEUE_SHARE } from "./queue_share.ts";
import {
  FULL_RETRY_MILLISECONDS,
  NO_ENDPOINT_RETRY_MILLISECONDS,
} from "./retry_waits.ts";

/** Retry delay while a starting daemon has not read its configuration. */
const NO_CONFIGURATION_RETRY_MILLISECONDS = 500;
/** How often a stopping daemon looks for requests that can't end in time. */
const SHUTDOWN_CHECK_MILLISECONDS = 50;
/** Maximum number of chain runs for a request whose results were lost. */
const MAXIMUM_CHAIN_RUNS = 2;
/** One of them may bring retained results that turn out to be gone. */
const MAXIMUM_CHAIN_RUNS_OF_RESUMABLE = 3;

/** Refusals of chains that may be due to the isolation of this daemon. */
const ISOLATION_REFUSALS: ReadonlySet<ChainRefusal> = new Set([
  "isolated",
  "no_endpoint",
  "failing",
  "retry_budget",
]);

/** What another daemon relays beside a request. */
type RelayedState = Pick<
  RequestRunOptions,
  | "relayedAttempts"
  | "streamOrigin"
  | "earlierStagesMilliseconds"
  | "senderEndsInMilliseconds"
>;

const NOT_RELAYED: RelayedState = { relayedAttempts: undefined };

/** How the chain of a request ended; `isolated` if it may be relayed. */
type ChainEnd = "done" | "ended" | "isolated";

/** Serves requests: checks route and key, runs the stages, then dispatches. */
export class RequestService {
  readonly #dependencies: RequestDependencies;
  readonly #limitedEndpointProbes: LimitedEndpointProbes;
  readonly #openRuns = new Set<RequestRun>();
  readonly #shutdown = new ShutdownAdmission(this.#openRuns);

  constructor(dependencies: RequestDependencies) {
    this.#dependencies = dependencies;
    this.#limitedEndpointProbes = new LimitedEndpointProbes(dependencies);
  }

  /** Number of requests without a final answer. */
  get open(): number {
    return this.#openRuns.size;
  }

  /**
   * Fails all open requests at shutdown. If their connections closed without an
   * answer when the process exits, a caller whose request still waits for its
   * stages couldn't know that it didn't run.
   */
  failOpenRequests(): void {
    for (const run of [...this.#openRuns]) {
      if (run.firstByteAt !== undefined) run.abort("daemon ends");
      else run.fail("daemon ends", this.#shutdown.retryMilliseconds(run));
    }
  }

  /**
   * Has results freed that are retained for open streams. A new coordinator
   * doesn't know them, and would count the room that they take as free.
   */
  releaseRetainedResults(): void {
    for (const run of this.#openRuns) run.releaseRetainedResults();
  }

  /**
   * Refuses requests at a stopping daemon as soon as their answers can't end in
   * time any more, though they haven't been sent; returns the teardown.
   */
  registerShutdownRefusals(): () => void {
    return this.#dependencies.timer.registerInterval(
      () => this.#refuseWaitingRequests(),
      SHUTDOWN_CHECK_MILLISECONDS,
    );
  }

  #refuseWaitingRequests(): void {
    for (const run of [...this.#openRuns]) {
      if (run.runs > 0 || run.firstByteAt !== undefined) continue;
      const refusal = this.#shutdown.findSendRefusal(run);
      if (refusal === undefined) continue;
      run.fail(refusal.reason, refusal.retryAfterMilliseconds);
    }
  }

  /** Serves a request that another daemon relayed. */
  async serveRelayed(
    message: RelayMessage,
    reply: RequestReply,
  ): Promise<void> {
    const { version } = this.#dependencies.configuration;
    if (version < message.configurationVersion) {
      // By an older configuration the request could be answered wrongly.
      this.#refuse(message.request, reply, {
        status: 503,
        retryAfterMilliseconds: NO_CONFIGURATION_RETRY_MILLISECONDS,
        message: "configuration is behind",
      });
      return;
    }
    await this.#serve(message.request, reply, {
      relayedAttempts: message.attemptsLeft,
      streamOrigin: message.streamOrigin,
      earlierStagesMilliseconds: message.earlierStagesMilliseconds,
      senderEndsInMilliseconds: message.senderEndsInMilliseconds,
    });
  }

  async serve(request: ServingRequest, reply: RequestReply): Promise<void> {
    await this.#serve(request, reply);
  }

  async #serve(
    request: ServingRequest,
    reply: RequestReply,
    relayed: RelayedState = NOT_RELAYED,
  ): Promise<void> {
    const run = this.#accept(request, reply, relayed);
    if (run === undefined) return;
    if (run.isQuarantined) {
      run.rejectQuarantined();
      return;
    }
    const unservable = this.#shutdown.findArrivalRefusal(run) ??
      (this.#dependencies.relay.isNeeded
        ? undefined
        : findUnservableReason(run));
    if (unservable !== undefined) {
      run.fail(unservable.reason, unservable.retryAfterMilliseconds);
      return;
    }
    this.#openRuns.add(run);
    this.#dependencies.lifecycle.recordAdmission();
    try {
      await this.#run(run);
    } catch (error) {
      this.#dependencies.log.warn("request failed with an unexpected error", {
        attempt: request.attemptId,
        reason: error instanceof Error ? error.stack : String(error),
      });
      run.fail("internal error", NO_CONFIGURATION_RETRY_MILLISECONDS);
    } finally {
      this.#openRuns.delete(run);
    }
  }

  #accept(
    request: ServingRequest,
    reply: RequestReply,
    relayed: RelayedState,
  ): RequestRun | undefined {
    const { configuration, random, timer } = this.#dependencies;
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
    if (service !== undefined && relayed.relayedAttempts === undefined) {
      this.#dependencies.retryGate.recordRequest(service);
    }
    if (service === undefined || request.attemptId === undefined) {
      return this.#refuse(request, reply, {
        status: service === undefined ? 503 : 400,
        retryAfterMilliseconds: NO_CONFIGURATION_RETRY_MILLISECONDS,
        message: service === undefined ? "route without service" : "no id",
      });
    }
    return new RequestRun({
      dependencies: this.#dependencies,
      request,
      reply,
      route,
      service,
      account,
      arrivedAt: timer.now(),
      ...relayed,
    });
  }

  #findAccount(
    request: ServingRequest,
    route: ServiceRoute,
  ): ClientAccount | undefined | "unknown" {
    const { table } = this.#dependencies.configuration;
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
    answer: DaemonAnswer,
  ): undefined {
    reply.refuse(answer);
    this.#dependencies.log.info("request refused", {
      attempt: request.attemptId,
      status: answer.status,
      reason: answer.message,
      configuration: this.#dependencies.configuration.version,
    });
    this.#dependencies.metrics.countRequest({
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
    const stages = createChainStages(run);
    const hasPieces = stages.some(({ pieces }) => pieces > 0);
    // Shared by all runs of the chain, since it tracks a stream's position.
    const dispatcher = new RequestDispatcher(run, {
      hasStages: route.stages.length > 0,
      shutdown: this.#shutdown,
      runStages: (signal) => this.#runStages(run, { stages, signal }),
    });
    const maximumRuns = run.isResumableStream
      ? MAXIMUM_CHAIN_RUNS_OF_RESUMABLE
      : MAXIMUM_CHAIN_RUNS;
    for (let chainRuns = 1; run.isOpen; chainRuns++) {
      if (!await dispatcher.prepareContinuation()) return;
      if (await dispatcher.relay()) return;
      // Another daemon may have begun the stream.
      if (!await dispatcher.prepareContinuation()) return;
      if (hasPieces) {
        const end = await this.#runChain(run, stages);
        if (end === "isolated") continue;
        if (end === "ended") return;
      } else if (this.#needsPlacement(run)) {
        await requestPlacement(run);
      }
      const end = await dispatcher.run();
      if (end === "ended" || !run.isOpen) return;
      if (end === "isolated") continue;
      if (!hasPieces || chainRuns >= maximumRuns) {
        dispatcher.fail("stage results were lost");
      }
    }
  }

  /** Whether the coordinator places a request that has no pieces. */
  #needsPlacement(run: RequestRun): boolean {
    return createChainReader(run) !== undefined ||
      this.#limitedEndpointProbes.tryStartProbe(run.options.service, run.now());
  }

  async #runChain(
    run: RequestRun,
    stages: readonly ChainStage[],
  ): Promise<ChainEnd> {
    const { signal } = run.stop;
    return this.#applyOutcome(
      run,
      await this.#runStages(run, { stages, signal }),
    );
  }

  #runStages(
    run: RequestRun,
    { stages, signal }: {
      readonly stages: readonly ChainStage[];
      readonly signal: AbortSignal;
    },
  ): Promise<ChainOutcome> {
    const request = {
      ...createChainRequest(run, { stages, reader: createChainReader(run) }),
      remainingMilliseconds: this.#shutdown.remainingForStages(run),
    };
    run.stagesBegunAt ??= run.now();
    return this.#dependencies.chainRunner.run(request, signal);
  }

  #failStages(
    run: RequestRun,
    { reason, retryAfterMilliseconds }: Extract<
      ChainOutcome,
      { type: "refused" }
    >,
  ): void {
    const { lifecycle } = this.#dependencies;
    // The daemon's end was the deadline; the coordinator doesn't know it.
    const isStopping = lifecycle.stopRequestedAt !== undefined;
    const wait = isStopping && reason === "too_late"
      ? this.#shutdown.retryMilliseconds(run)
      : retryAfterMilliseconds;
    run.fail(`stages: ${reason}`, wait);
  }

  #applyOutcome(run: RequestRun, outcome: ChainOutcome): ChainEnd {
    if (outcome.type === "refused") {
      const isIsolated = ISOLATION_REFUSALS.has(outcome.reason) &&
        this.#dependencies.relay.isNeeded;
      if (isIsolated) return "isolated";
      // The answer of a resumed stream has begun, so it can only be aborted.
      if (run.firstByteAt !== undefined) run.abort(`stages: ${outcome.reason}`);
      else this.#failStages(run, outcome);
      return "ended";
    }
    run.holdResults(outcome.results, outcome.place);
    return run.isOpen ? "done" : "ended";
  }
}

/**
 * Returns the reason if it is known in advance that no endpoint can run the
 * request. Running its stages would be wasted, and the caller refused late.
 */
function findUnservableReason(
  run: RequestRun,
): RequestRefusal | undefined {
  const { dependencies, service } = run.options;
  const { endpointRegistry } = dependencies;
  const endpoints = endpointRegistry.availableFor(service);
  // An empty registry hasn't been read yet.
  if (endpoints.length === 0 && endpointRegistry.size > 0) {
    return {
      reason: "no endpoint",
      retryAfterMilliseconds: NO_ENDPOINT_RETRY_MILLISECONDS,
    };
  }
  const hasPieces = createChainStages(run).some(({ pieces }) => pieces > 0);
  return findLongPause(run, hasPieces) ??
    (hasPieces ? findMissingPlace(run) : undefined);
}

function findLongPause(
  run: RequestRun,
  hasPieces: boolean,
): RequestRefusal | undefined {
  const { dependencies, service, route } = run.options;
  const endpoints = dependencies.endpointRegistry.availableFor(service);
  const pause = shortestPause(endpoints, run.now());
  const maximumPause = hasPieces ? route.objectiveMilliseconds : 0;
  if (pause <= maximumPause) return undefined;
  return { reason: "all endpoints pause", retryAfterMilliseconds: pause };
}

/** Brittle endpoints without a place for the request when its stages end. */
function findMissingPlace(run: RequestRun): RequestRefusal | undefined {
  const { dependencies, service } = run.options;
  const { concurrency } = dependencies;
  if (!concurrency.isLimited(service)) return undefined;
  const wait = concurrency.expectedWait(service, run.expectedFirstByte);
  if (wait <= run.remainingObjective() * QUEUE_SHARE) return undefined;
  return {
    reason: "brittle endpoints are at capacity",
    retryAfterMilliseconds: Math.max(wait, FULL_RETRY_MILLISECONDS),
  };
}
