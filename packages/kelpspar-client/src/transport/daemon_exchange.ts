import type { Readable } from "node:stream";

/** One exchange with a daemon. */
export interface DaemonExchange {
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly body?: unknown;
  /** Aborting it destroys the connection that carries the exchange. */
  readonly signal: AbortSignal;
  /**
   * True for a dedicated connection. A pooled one may have gone silent or be
   * closing, and then it is unknown whether the exchange arrived.
   */
  readonly isolated: boolean;
}

/** An exchange whose response has started. */
export interface OpenExchange {
  readonly status: number;
  readonly body: Readable;
  /** Ends the exchange, whether or not its body has been read. */
  readonly release: () => void;
}
