import type { TimerService } from "kelpspar-shared";
import type { PieceTerms } from "../configuration/service_definition.ts";
import type { EndpointRegistry } from "../endpoints/endpoint_registry.ts";
import type { EndpointRateLimiter } from "../endpoints/endpoint_rate_limiter.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { ServiceRetryBudget } from "../retries/service_retry_budget.ts";
import type { PieceResult } from "./chain_outcome.ts";
import type { ChainRun } from "./chain_run.ts";
import type { PieceClient } from "./piece_call.ts";
import type { PieceTask } from "./piece_task.ts";

/** Told what became of pieces. */
export interface ServiceDeskEvents {
  made(task: PieceTask): void;
  inputsGone(task: PieceTask): void;
  failed(chain: ChainRun, reason: "too_late" | "failing"): void;
}

/** What a desk works with. */
export interface ServiceDeskOptions {
  readonly service: string;
  readonly terms: PieceTerms;
  readonly book: EndpointRegistry;
  readonly gate: EndpointRateLimiter;
  readonly client: PieceClient;
  readonly timer: TimerService;
  readonly budget: ServiceRetryBudget;
  readonly log: GatewayLog;
  readonly events: ServiceDeskEvents;
  /** Frees results that nobody needs. */
  readonly free: (results: readonly PieceResult[]) => void;
}
