import type { TimerService } from "kelpspar-shared";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { StoreEra } from "./store_era.ts";
import { StoreCallError } from "./table_store.ts";

/** A call of the store that is repeated until it succeeds. */
export interface RepeatedCall {
  readonly act: () => Promise<void>;
  /** Logged with each failure. */
  readonly message: string;
  /** Wait after a call that failed. */
  readonly pauseMilliseconds: number;
  readonly timer: TimerService;
  readonly log: GatewayLog;
  readonly era: StoreEra;
}

/** Calls the store until it succeeds; failures tell its era too. */
export async function callUntilDone(call: RepeatedCall): Promise<void> {
  const { act, message, pauseMilliseconds, timer, log, era } = call;
  const startedAt = timer.now();
  try {
    await act();
  } catch (error) {
    log.warn(message, { reason: String(error) });
    if (error instanceof StoreCallError) era.answered(error.era, startedAt);
    timer.registerTimeout(() => void callUntilDone(call), pauseMilliseconds);
  }
}
