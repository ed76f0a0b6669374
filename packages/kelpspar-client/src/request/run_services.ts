import type {
  DaemonAddress,
  RandomSource,
  TimerService,
} from "kelpspar-shared";
import type { AddressCache } from "../addresses/address_cache.ts";
import type { DaemonTransport } from "../transport/daemon_transport.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** Services shared by the runs of one client. */
export interface RunServices {
  readonly addresses: AddressCache;
  readonly transport: DaemonTransport;
  readonly budget: RetryBudget;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly progressTimeoutMilliseconds: number;
  /** Aborted when the client is closed. */
  readonly closing: AbortSignal;
  /** Requests cancellation of a request at its daemon. */
  readonly cancel: (daemon: DaemonAddress, requestId: string) => void;
}
