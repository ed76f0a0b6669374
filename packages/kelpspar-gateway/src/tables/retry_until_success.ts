import type { TimerService } from "kelpspar-shared";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { StoreEra } from "./store_era.ts";
import { StoreCallError } from "./table_store.ts";

/** A store call that is retried until it succeeds. */
export interface RetriedCall {
  readonly operation: () => Promise<void>;
  /** Logged with each failure. */
  readonly message: string;
  /** Delay after a failed call. */
  readonly retryDelayMilliseconds: number;
  readonly timer: TimerService;
  readonly log: GatewayLog;
  readonly era: StoreEra;
  /** Stops the retries; a call in flight is still completed. */
  readonly signal: AbortSignal;
}

/**
 * Calls the store until it succeeds or `signal` aborts. Failed answers carry
 * its era too.
 */
export async function retryUntilSuccess(call: RetriedCall): Promise<void> {
  const {
    operation,
    message,
    retryDelayMilliseconds,
    timer,
    log,
    era,
    signal,
  } = call;
  if (signal.aborted) return;
  const startedAt = timer.now();
  try {
    await operation();
  } catch (error) {
    log.warn(message, { reason: String(error) });
    if (error instanceof StoreCallError) era.checkAnswer(error.era, startedAt);
    if (signal.aborted) return;
    const stopWaiting = timer.registerTimeout(() => {
      signal.removeEventListener("abort", stopWaiting);
      void retryUntilSuccess(call);
    }, retryDelayMilliseconds);
    signal.addEventListener("abort", stopWaiting, { once: true });
  }
}
