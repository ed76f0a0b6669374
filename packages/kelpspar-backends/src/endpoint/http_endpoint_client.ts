import type {
  CacheEventPage,
  CacheSnapshot,
  EndpointAddress,
  EngineOrder,
  LoadReport,
  StageCall,
  StageRecord,
  TimerService,
} from "kelpspar-shared";
import type { EndpointClient, StageCallOptions } from "./endpoint_client.ts";
import type { Client, Dispatcher, Pool } from "undici";
import {
  formatHost,
  KelpsparError,
  parseJsonLines,
  readJsonLines,
} from "kelpspar-shared";
import { createGuardedPool, GuardedClient, readBody } from "kelpspar-http";
import { isConnectFailure } from "../http/json_http_client.ts";

const DEFAULT_CONNECTIONS = 128;
const DEFAULT_CONNECT_TIMEOUT_MILLISECONDS = 500;
const DEFAULT_CONTROL_TIMEOUT_MILLISECONDS = 1_000;
/** Read of the body of an error answer, which goes into a message. */
const MAXIMUM_ERROR_BYTES = 64 * 1024;
const STATUS_OK = 200;
const STATUS_CONFLICT = 409;
const JSON_HEADERS = { "content-type": "application/json" };

/** Options of `HttpEndpointClient`. */
export interface HttpEndpointClientOptions {
  readonly timer: TimerService;
  /** Maximum connections to each endpoint; default 128. */
  readonly connections?: number;
  /** Timeout for opening a connection, in milliseconds; default 500. */
  readonly connectTimeoutMilliseconds?: number;
  /** Timeout of a control call, in milliseconds; default 1,000. */
  readonly controlTimeoutMilliseconds?: number;
}

interface ControlExchange {
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly body?: unknown;
}

/** An endpoint client for the HTTP protocol in docs/PLATFORM.md. */
export class HttpEndpointClient implements EndpointClient {
  readonly #timer: TimerService;
  readonly #connectTimeoutMilliseconds: number;
  readonly #controlTimeoutMilliseconds: number;
  readonly #connections: number;
  readonly #pools = new Map<string, Pool>();

  constructor(options: HttpEndpointClientOptions) {
    this.#timer = options.timer;
    this.#connectTimeoutMilliseconds = options.connectTimeoutMilliseconds ??
      DEFAULT_CONNECT_TIMEOUT_MILLISECONDS;
    this.#controlTimeoutMilliseconds = options.controlTimeoutMilliseconds ??
      DEFAULT_CONTROL_TIMEOUT_MILLISECONDS;
    this.#connections = options.connections ?? DEFAULT_CONNECTIONS;
  }

  async *call(
    endpoint: EndpointAddress,
    call: StageCall,
    options: StageCallOptions,
  ): AsyncGenerator<StageRecord, void, void> {
    const dispatcher = options.newConnection
      ? this.#createClient(endpoint)
      : this.#poolOf(endpoint);
    try {
      const answer = await dispatcher.request({
        path: "/v1/calls",
        method: "POST",
        headers: JSON_HEADERS,
        body: JSON.stringify(call),
        signal: options.signal,
      });
      if (answer.statusCode !== STATUS_OK) {
        throw await readStatusError(endpoint, answer);
      }
      const records = options.isStream === false
        ? parseJsonLines((await readBody(answer.body)).toString("utf8"))
        : readJsonLines(answer.body);
      for await (const record of records) yield record as StageRecord;
    } catch (cause) {
      throw toEndpointError(endpoint, cause);
    } finally {
      if (options.newConnection) void dispatcher.destroy();
    }
  }

  async cancel(endpoint: EndpointAddress, attemptId: string): Promise<void> {
    const path = `/v1/calls/${encodeURIComponent(attemptId)}`;
    await this.#control(endpoint, { method: "DELETE", path });
  }

  async load(endpoint: EndpointAddress): Promise<LoadReport> {
    const exchange = { method: "GET", path: "/v1/load" } as const;
    return await this.#control(endpoint, exchange) as LoadReport;
  }

  async cacheEvents(
    endpoint: EndpointAddress,
    afterSequence: number,
  ): Promise<CacheEventPage> {
    const path = `/v1/cache-events?after=${afterSequence}`;
    const exchange = { method: "GET", path } as const;
    return await this.#control(endpoint, exchange) as CacheEventPage;
  }

  async cacheSnapshot(endpoint: EndpointAddress): Promise<CacheSnapshot> {
    const exchange = { method: "GET", path: "/v1/cache-snapshot" } as const;
    return await this.#control(endpoint, exchange) as CacheSnapshot;
  }

  async order(endpoint: EndpointAddress, order: EngineOrder): Promise<void> {
    const exchange = {
      method: "POST",
      path: "/v1/orders",
      body: order,
    } as const;
    await this.#control(endpoint, exchange);
  }

  async copyCache(
    prefixHash: string,
    options: { readonly from: EndpointAddress; readonly to: EndpointAddress },
  ): Promise<void> {
    const path = `/v1/cache/${encodeURIComponent(prefixHash)}`;
    const content = await this.#control(options.from, { method: "GET", path });
    await this.#control(options.to, { method: "POST", path, body: content });
  }

  renewConnections(endpoint: EndpointAddress): void {
    const origin = originOf(endpoint);
    const pool = this.#pools.get(origin);
    if (pool === undefined) return;
    this.#pools.delete(origin);
    void pool.close();
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  /**
   * Sends each control call over a new connection, to distinguish an
   * unreachable endpoint from a silent connection.
   */
  async #control(
    endpoint: EndpointAddress,
    exchange: ControlExchange,
  ): Promise<unknown> {
    const client = this.#createClient(endpoint);
    const abort = new AbortController();
    const stopTimer = this.#timer.registerTimeout(
      () => abort.abort(new Error("timed out")),
      this.#controlTimeoutMilliseconds,
    );
    try {
      const answer = await client.request({
        path: exchange.path,
        method: exchange.method,
        headers: JSON_HEADERS,
        body: exchange.body === undefined
          ? null
          : JSON.stringify(exchange.body),
        signal: abort.signal,
      });
      if (answer.statusCode !== STATUS_OK) {
        throw await readStatusError(endpoint, answer);
      }
      return JSON.parse((await readBody(answer.body)).toString("utf8"));
    } catch (cause) {
      throw toEndpointError(endpoint, cause);
    } finally {
      stopTimer();
      void client.destroy();
    }
  }

  #poolOf(endpoint: EndpointAddress): Pool {
    const origin = originOf(endpoint);
    const existing = this.#pools.get(origin);
    if (existing !== undefined) return existing;
    const pool = createGuardedPool(origin, {
      connections: this.#connections,
      connect: { timeout: this.#connectTimeoutMilliseconds },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#pools.set(origin, pool);
    return pool;
  }

  #createClient(endpoint: EndpointAddress): Client {
    return new GuardedClient(originOf(endpoint), {
      connect: { timeout: this.#connectTimeoutMilliseconds },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }
}

function originOf(endpoint: EndpointAddress): string {
  return `http://${formatHost(endpoint.address, endpoint.port)}`;
}

async function readStatusError(
  endpoint: EndpointAddress,
  answer: Dispatcher.ResponseData,
): Promise<KelpsparError> {
  const body = await readBody(answer.body, {
    maximumBytes: MAXIMUM_ERROR_BYTES,
  });
  const text = body.toString("utf8");
  const message =
    `Endpoint "${endpoint.endpointId}" answered status ${answer.statusCode}: ${text}`;
  if (answer.statusCode === STATUS_CONFLICT) {
    return new KelpsparError("stale_fencing_number", message);
  }
  return new KelpsparError("endpoint_failed", message);
}

function toEndpointError(endpoint: EndpointAddress, cause: unknown): unknown {
  if (cause instanceof KelpsparError) return cause;
  const reason = cause instanceof Error ? cause.message : String(cause);
  const result = isConnectFailure(cause)
    ? "endpoint_refused"
    : "endpoint_failed";
  return new KelpsparError(
    result,
    `Call to endpoint "${endpoint.endpointId}" failed: ${reason}`,
    { cause },
  );
}
