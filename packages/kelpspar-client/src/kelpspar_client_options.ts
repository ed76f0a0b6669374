import type { RandomSource, TimerService } from "kelpspar-shared";

/** Options of `KelpsparClient`. */
export interface KelpsparClientOptions {
  /** Daemons to query for addresses first, as `address:port`. */
  readonly seeds: readonly string[];
  /** The client account's key. */
  readonly callerKey: string;
  /** The caller's availability zone; its daemons are preferred. */
  readonly availabilityZone?: string;
  /** `SystemTimer` outside tests. */
  readonly timer: TimerService;
  /** `SystemRandom` outside tests, because it also generates keys. */
  readonly random: RandomSource;
  /** Timeout for opening a connection, in milliseconds; default 500. */
  readonly connectTimeoutMilliseconds?: number;
  /**
   * How long a daemon may send nothing before the client reconnects and
   * resumes, in milliseconds; default 2,000.
   */
  readonly progressTimeoutMilliseconds?: number;
  /** Timeout for fetching addresses, in milliseconds; default 500. */
  readonly addressTimeoutMilliseconds?: number;
  /** Retries allowed per success; default 0.1. */
  readonly retryShare?: number;
  /** Retries allowed before any success; default 10. */
  readonly retryReserve?: number;
  /** Pooled connections to each daemon; default 64. */
  readonly connections?: number;
}

/** Options of one submission or look-up. */
export interface SubmitOptions {
  /** Aborting it cancels the request. */
  readonly signal?: AbortSignal;
}

/** Defaults of `KelpsparClientOptions`. */
export const CLIENT_DEFAULTS = {
  connectTimeoutMilliseconds: 500,
  progressTimeoutMilliseconds: 2_000,
  addressTimeoutMilliseconds: 500,
  retryShare: 0.1,
  retryReserve: 10,
  connections: 64,
} as const;
