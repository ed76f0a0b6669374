import type { TimerService } from "kelpspar-shared";
import { RetryGate } from "../../retries/retry_gate.ts";
import { SlackLender } from "../../retries/slack_lender.ts";
import { StoreEra } from "../../tables/store_era.ts";
import { MemoryRowStore } from "./memory_row_store.ts";

/** Options of `createRetryGate`. */
export interface TestGateOptions {
  readonly ratio?: number;
  readonly slack?: number;
  readonly windowMilliseconds?: number;
  readonly daemons?: number;
  readonly store?: MemoryRowStore;
}

/** Creates the retry gate of a daemon that lends to itself. */
export function createRetryGate(
  timer: TimerService,
  options: TestGateOptions = {},
): RetryGate {
  const { ratio = 0.2, slack = 50, windowMilliseconds = 10_000 } = options;
  const { daemons = 1, store = new MemoryRowStore(timer) } = options;
  const limits = { ratio, slack, windowMilliseconds };
  const fleetSize = (): number => daemons;
  const lender = new SlackLender({
    limits,
    store: () => store,
    era: new StoreEra({ timer, anomalies: { note: () => {} } }),
    fleetSize,
    timer,
    log: { info: () => {}, warn: () => {} },
  });
  const slackSource = {
    borrow: (service: string, count: number) => lender.lend(service, count),
  };
  return new RetryGate({ limits, slack: slackSource, fleetSize, timer });
}
