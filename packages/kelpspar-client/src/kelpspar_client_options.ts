import type { RandomSource, TimerService } from "kelpspar-shared";

/** How a client is made. */
export interface KelpsparClientOptions {
  /** Daemons to ask for addresses first, as `address:port`. */
  readonly seeds: readonly string[];
  /** The client account's key. */
  readonly callerKey: string;
  /** The caller's own; daemons there are preferred. */
  readonly availabilityZone?: string;
  /** `SystemTimer` outside tests. */
  readonly timer: TimerService;
  /** `SystemRandom` outside tests, since it also makes keys. */
  readonly random: RandomSource;
  /** How long a connection may take to open, milliseconds; default 500. */
  readonly connectTimeoutMilliseconds?: number;
  /**
   * How long a daemon may send nothing before the client reconnects and
   * resumes, milliseconds; default 2,000.
   */
  readonly progressTimeoutMilliseconds?: number;
  /** How long a question for addresses may take, milliseconds; default 500. */
  readonly addressTimeoutMilliseconds?: number;
  /** Retries allowed per success; default 0.1. */
  readonly retryShare?: number;
  /** Retries allowed before any success; default 10. */
  readonly retryReserve?: number;
  /** Connections kept to each daemon; default 64. */
  readonly connections?: number;
}

/** What may be said of one request besides the request. */
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
