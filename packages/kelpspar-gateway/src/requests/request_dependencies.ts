import type { RandomSource, TimerService } from "kelpspar-shared";
import type { ActiveConfiguration } from "../configuration/active_configuration.ts";
import type { ConcurrencyLimiter } from "../endpoints/concurrency_limiter.ts";
import type { EndpointRateLimiter } from "../endpoints/endpoint_rate_limiter.ts";
import type { EndpointRegistry } from "../endpoints/endpoint_registry.ts";
import type { MalformedAnswers } from "../exchange/malformed_answers.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { GatewayMetrics } from "../metrics/gateway_metrics.ts";
import type { CrashDetector } from "../quarantine/crash_detector.ts";
import type { Quarantine } from "../quarantine/quarantine.ts";
import type { AnswerTimes } from "../lifecycle/answer_times.ts";
import type { DaemonLifecycle } from "../lifecycle/daemon_lifecycle.ts";
import type { StopForecastOptions } from "../lifecycle/stop_forecast.ts";
import type { PeerRelay } from "../relay/peer_relay.ts";
import type { StreamOrigins } from "../streams/stream_origins.ts";
import type { RetryGate } from "../retries/retry_gate.ts";
import type { ChainRunner } from "./chain_runner.ts";
import type { EndpointClient } from "./endpoint_call.ts";
import type { FirstByteEstimates } from "./first_byte_estimates.ts";

/** What is known of other daemons while this one stops. */
export type OtherDaemons = Pick<
  StopForecastOptions,
  "isOtherServing" | "isOtherStarting" | "othersEndIn"
>;

/** Services that the request path depends on. */
export interface RequestDependencies {
  readonly configuration: ActiveConfiguration;
  readonly endpointRegistry: EndpointRegistry;
  readonly endpoints: EndpointClient;
  /** Rate limits of the endpoints that this daemon chooses itself. */
  readonly rateLimiter: EndpointRateLimiter;
  /** Limits of open requests at brittle endpoints. */
  readonly concurrency: ConcurrencyLimiter;
  readonly chainRunner: ChainRunner;
  /** Other daemons that serve requests while this one is isolated. */
  readonly relay: Pick<
    PeerRelay,
    "isNeeded" | "verified" | "choosePeer" | "send"
  >;
  readonly streamOrigins: Pick<
    StreamOrigins,
    "begin" | "begun" | "find" | "isSettled"
  >;
  /** Decides what is sent to an endpoint again. */
  readonly retryGate: Pick<
    RetryGate,
    | "recordRequest"
    | "spend"
    | "giveBack"
    | "waitFor"
    | "retryAfterMilliseconds"
    | "describe"
  >;
  readonly crashes: Pick<CrashDetector, "checkEndpoint">;
  readonly quarantine: Pick<
    Quarantine,
    | "find"
    | "findSuspectPart"
    | "isSuspect"
    | "mayBecomeSuspect"
    | "served"
    | "answered"
  >;
  readonly firstByteEstimates: FirstByteEstimates;
  readonly malformedAnswers: Pick<MalformedAnswers, "publish">;
  readonly lifecycle: Pick<
    DaemonLifecycle,
    | "remainingMilliseconds"
    | "minimumMilliseconds"
    | "stopRequestedAt"
    | "recordAdmission"
  >;
  /** Answer times from the arrival of a request. */
  readonly answerTimes: Pick<AnswerTimes, "record" | "bound" | "estimate">;
  /** Answer times from the send that was answered. */
  readonly sendTimes: Pick<AnswerTimes, "record" | "estimate">;
  /** What is known of other daemons while this one stops. */
  readonly others: () => OtherDaemons;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  /** Availability zone of this daemon. */
  readonly zone: string;
}
