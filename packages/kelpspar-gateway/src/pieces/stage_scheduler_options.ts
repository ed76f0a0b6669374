import type { TimerService } from "kelpspar-shared";
import type { PieceTerms } from "../configuration/service_definition.ts";
import type { EndpointRegistry } from "../endpoints/endpoint_registry.ts";
import type { EndpointRateLimiter } from "../endpoints/endpoint_rate_limiter.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { PieceResult } from "./chain_outcome.ts";
import type { ChainRun } from "./chain_run.ts";
import type { PieceClient } from "./piece_call.ts";
import type { PieceRetryGate } from "./piece_retries.ts";
import type { PieceTask } from "./piece_task.ts";

/** Callbacks for the outcome of pieces. */
export interface StageSchedulerEvents {
  made(task: PieceTask): void;
  inputsGone(task: PieceTask): void;
  failed(
    chain: ChainRun,
    reason: "too_late" | "failing" | "retry_budget",
  ): void;
}

/** Dependencies of `StageScheduler`. */
export interface StageSchedulerOptions {
  readonly service: string;
  readonly terms: PieceTerms;
  readonly registry: EndpointRegistry;
  readonly rateLimiter: EndpointRateLimiter;
  readonly client: PieceClient;
  readonly timer: TimerService;
  readonly retryGate: PieceRetryGate;
  readonly log: GatewayLog;
  readonly events: StageSchedulerEvents;
  /** Frees results that are no longer needed. */
  readonly free: (results: readonly PieceResult[]) => void;
  /**
   * Frees the results that were retained first, of those with one at the maker;
   * false if there are none.
   */
  readonly freeRetained: (makerId: string) => boolean;
}
