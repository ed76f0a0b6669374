import type {
  DaemonAddress,
  RandomSource,
  TimerService,
} from "kelpspar-shared";
import type { AddressBook } from "../addresses/address_cache.ts";
import type { DaemonTransport } from "../transport/daemon_transport.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** What the runs of one client share. */
export interface RunServices {
  readonly addresses: AddressBook;
  readonly transport: DaemonTransport;
  readonly budget: RetryBudget;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly progressTimeoutMilliseconds: number;
  /** Aborted when the client is closed. */
  readonly closing: AbortSignal;
  /** Tells a daemon that a request is no longer wanted. */
  readonly cancel: (daemon: DaemonAddress, requestId: string) => void;
}
