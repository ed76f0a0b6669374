import type { TimerService } from "kelpspar-shared";

/** Where a part of the platform is and how long to wait for it. */
export interface PlatformClientOptions {
  /** `http://address:port`, by IP number. */
  readonly origin: string;
  readonly timer: TimerService;
  /** How long a call may take, milliseconds; default 1,000. */
  readonly timeoutMilliseconds?: number;
  /** How many connections to keep; default 4. */
  readonly connections?: number;
}
