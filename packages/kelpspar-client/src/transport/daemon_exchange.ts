import type { Readable } from "node:stream";

/** One exchange with a daemon. */
export interface DaemonExchange {
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly body?: unknown;
  /** Aborting it destroys the connection that carries the exchange. */
  readonly signal: AbortSignal;
  /**
   * True for a connection of its own. A pooled one may have gone silent or be
   * closing, which leaves open whether the exchange arrived.
   */
  readonly isolated: boolean;
}

/** An exchange whose answer has begun. */
export interface OpenExchange {
  readonly status: number;
  readonly body: Readable;
  /** Ends the exchange, whether or not its body was read. */
  readonly release: () => void;
}
