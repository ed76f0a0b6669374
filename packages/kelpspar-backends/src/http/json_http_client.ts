import type { PlatformClientOptions } from "./platform_client_options.ts";
import type { TimerService } from "kelpspar-shared";
import type { Agent } from "undici";
import { createGuardedAgent, readBody } from "kelpspar-http";

const DEFAULT_TIMEOUT_MILLISECONDS = 1_000;
const DEFAULT_CONNECTIONS = 4;

/** A request with an optional JSON body. */
export interface JsonExchange {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly path: string;
  readonly body?: unknown;
}

/** A response with its complete JSON body. */
export interface JsonAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Thrown when an exchange got no complete response. */
export class ExchangeError extends Error {
  /** True if the server may have received the request. */
  readonly mayHaveArrived: boolean;

  constructor(message: string, options: {
    readonly mayHaveArrived: boolean;
    readonly cause?: unknown;
  }) {
    super(message, { cause: options.cause });
    this.mayHaveArrived = options.mayHaveArrived;
  }
}

/**
 * Exchanges JSON with one origin. A connection may go silent permanently while
 * new ones work, which would make every call on it time out. So after a timeout
 * later calls use new connections, and calls in flight finish on the old ones.
 */
export class JsonHttpClient {
  readonly #origin: string;
  readonly #timer: TimerService;
  readonly #timeoutMilliseconds: number;
  readonly #connections: number;
  /**
   * The number of exchanges in flight, by agent; agents without any are absent.
   */
  readonly #inFlight = new Map<Agent, number>();
  #agent: Agent;

  constructor(options: PlatformClientOptions) {
    this.#origin = options.origin;
    this.#timer = options.timer;
    this.#timeoutMilliseconds = options.timeoutMilliseconds ??
      DEFAULT_TIMEOUT_MILLISECONDS;
    this.#connections = options.connections ?? DEFAULT_CONNECTIONS;
    this.#agent = this.#createAgent();
  }

  /**
   * Throws ExchangeError if no complete response arrives before the timeout.
   */
  async exchange(exchange: JsonExchange): Promise<JsonAnswer> {
    const agent = this.#agent;
    this.#inFlight.set(agent, (this.#inFlight.get(agent) ?? 0) + 1);
    const abort = new AbortController();
    const stopTimer = this.#timer.registerTimeout(
      () => abort.abort(new Error("timed out")),
      this.#timeoutMilliseconds,
    );
    try {
      const answer = await agent.request({
        origin: this.#origin,
        path: exchange.path,
        method: exchange.method,
        signal: abort.signal,
        headers: { "content-type": "application/json" },
        body: exchange.body === undefined
          ? null
          : JSON.stringify(exchange.body),
      });
      const bytes = await readBody(answer.body);
      const body: unknown = JSON.parse(bytes.toString("utf8"));
      return { status: answer.statusCode, body };
    } catch (cause) {
      if (abort.signal.aborted && this.#agent === agent) {
        this.#agent = this.#createAgent();
      }
      throw this.#toExchangeError(exchange, cause);
    } finally {
      stopTimer();
      this.#releaseAgent(agent);
    }
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    const agents = [this.#agent, ...this.#inFlight.keys()];
    await Promise.all(agents.map((agent) => agent.destroy()));
  }

  #createAgent(): Agent {
    return createGuardedAgent({
      connections: this.#connections,
      connect: { timeout: this.#timeoutMilliseconds },
    });
  }

  /**
   * Destroys a replaced agent once nothing is in flight on it. Its other
   * exchanges may still succeed, and each has its own timeout.
   */
  #releaseAgent(agent: Agent): void {
    const remaining = (this.#inFlight.get(agent) ?? 1) - 1;
    if (remaining > 0) {
      this.#inFlight.set(agent, remaining);
      return;
    }
    this.#inFlight.delete(agent);
    if (agent !== this.#agent) void agent.destroy();
  }

  #toExchangeError(exchange: JsonExchange, cause: unknown): ExchangeError {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return new ExchangeError(
      `Exchange "${exchange.method} ${exchange.path}" with ${this.#origin} failed: ${reason}`,
      { mayHaveArrived: !isConnectFailure(cause), cause },
    );
  }
}

/**
 * True only if no connection was established, so that the server cannot have
 * received anything. A reset, a timeout or an unreachable host on an open
 * connection does not prove this; only a failed `connect` does.
 */
export function isConnectFailure(cause: unknown): boolean {
  if (!(cause instanceof Error)) return false;
  const { code, syscall } = cause as {
    readonly code?: unknown;
    readonly syscall?: unknown;
  };
  return syscall === "connect" || code === "UND_ERR_CONNECT_TIMEOUT";
}
