import type { DaemonAddress } from "kelpspar-shared";
import type { Client, Pool } from "undici";
import type { DaemonExchange, OpenExchange } from "./daemon_exchange.ts";
import { createGuardedPool, GuardedClient } from "kelpspar-http";
import { toHostPort } from "../addresses/daemon_address.ts";
import { ExchangeFailure } from "./exchange_failure.ts";
import { TrackingConnector } from "./tracking_connector.ts";

/** Options of a `DaemonTransport`. */
export interface DaemonTransportOptions {
  readonly callerKey: string;
  readonly connectTimeoutMilliseconds: number;
  /** Pooled connections to each daemon. */
  readonly connections: number;
}

/** Sends exchanges to daemons over HTTP. */
export class DaemonTransport {
  readonly #options: DaemonTransportOptions;
  readonly #connector: TrackingConnector;
  readonly #pools = new Map<string, Pool>();

  constructor(options: DaemonTransportOptions) {
    this.#options = options;
    this.#connector = this.#createConnector();
  }

  /** Throws ExchangeFailure if no response started. */
  open(
    daemon: DaemonAddress,
    exchange: DaemonExchange,
  ): Promise<OpenExchange> {
    return exchange.isolated
      ? this.#openIsolated(daemon, exchange)
      : this.#openPooled(daemon, exchange);
  }

  /**
   * Makes new exchanges with a daemon use new connections, after one
   * connection went silent: the fault between the two ends may also affect the
   * idle connections. Answers that are streaming on old connections continue.
   */
  renewConnections(daemon: DaemonAddress): void {
    const place = toHostPort(daemon);
    const pool = this.#pools.get(place);
    this.#pools.delete(place);
    if (pool !== undefined) void pool.close();
  }

  /** Closes every connection, including those with a streaming answer. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  async #openIsolated(
    daemon: DaemonAddress,
    exchange: DaemonExchange,
  ): Promise<OpenExchange> {
    const connector = this.#createConnector();
    const client = new GuardedClient(originOf(daemon), {
      connect: connector.connect,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const release = (): void => void client.destroy();
    try {
      return await this.#request(client, { exchange, release });
    } catch (cause) {
      release();
      const nothingArrived = connector.openedCount === 0;
      throw toFailure(daemon, { cause, nothingArrived });
    }
  }

  async #openPooled(
    daemon: DaemonAddress,
    exchange: DaemonExchange,
  ): Promise<OpenExchange> {
    try {
      const pool = this.#poolOf(daemon);
      return await this.#request(pool, { exchange, release: () => {} });
    } catch (cause) {
      const nothingArrived = this.#connector.failedToOpen(cause);
      throw toFailure(daemon, { cause, nothingArrived });
    }
  }

  async #request(
    dispatcher: Client | Pool,
    options: {
      readonly exchange: DaemonExchange;
      readonly release: () => void;
    },
  ): Promise<OpenExchange> {
    const { method, path, body, signal } = options.exchange;
    const answer = await dispatcher.request({
      method,
      path,
      signal,
      headers: {
        "authorization": `Bearer ${this.#options.callerKey}`,
        "content-type": "application/json",
      },
      body: body === undefined ? null : JSON.stringify(body),
    });
    // Destroying an unread body emits an error.
    answer.body.on("error", () => {});
    const release = (): void => {
      answer.body.destroy();
      options.release();
    };
    return { status: answer.statusCode, body: answer.body, release };
  }

  #poolOf(daemon: DaemonAddress): Pool {
    const place = toHostPort(daemon);
    const known = this.#pools.get(place);
    if (known !== undefined) return known;
    const pool = createGuardedPool(originOf(daemon), {
      connections: this.#options.connections,
      connect: this.#connector.connect,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#pools.set(place, pool);
    return pool;
  }

  #createConnector(): TrackingConnector {
    return new TrackingConnector({
      timeoutMilliseconds: this.#options.connectTimeoutMilliseconds,
    });
  }
}

function originOf(daemon: DaemonAddress): string {
  return `http://${toHostPort(daemon)}`;
}

function toFailure(
  daemon: DaemonAddress,
  options: { readonly cause: unknown; readonly nothingArrived: boolean },
): ExchangeFailure {
  const { cause } = options;
  const reason = cause instanceof Error ? cause.message : String(cause);
  return new ExchangeFailure(
    `Cannot complete the exchange with the daemon at "${
      toHostPort(daemon)
    }": ${reason}`,
    options,
  );
}
