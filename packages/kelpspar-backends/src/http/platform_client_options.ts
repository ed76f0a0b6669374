import type { TimerService } from "kelpspar-shared";

/** Options of the clients for the platform's services. */
export interface PlatformClientOptions {
  /** `http://address:port`, with an IP address. */
  readonly origin: string;
  readonly timer: TimerService;
  /** Timeout of a call, in milliseconds; default 1,000. */
  readonly timeoutMilliseconds?: number;
  /** Maximum connections; default 4. */
  readonly connections?: number;
}
