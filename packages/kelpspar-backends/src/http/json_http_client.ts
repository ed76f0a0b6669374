import type { PlatformClientOptions } from "./platform_client_options.ts";
import type { TimerService } from "kelpspar-shared";
import { Agent } from "undici";

const DEFAULT_TIMEOUT_MILLISECONDS = 1_000;
const DEFAULT_CONNECTIONS = 4;

/** One exchange of JSON. */
export interface JsonExchange {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly path: string;
  readonly body?: unknown;
}

/** An answer whose body was read whole. */
export interface JsonAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Why an exchange gave no answer. */
export class ExchangeError extends Error {
  /** True when the other side may have received the exchange. */
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
 * Exchanges JSON with one origin. What goes wrong: a connection goes silent
 * for good while new ones work. It shows as calls that time out one after the
 * other. So after a timeout later calls use new connections; those in flight
 * end by themselves.
 */
export class JsonHttpClient {
  readonly #origin: string;
  readonly #timer: TimerService;
  readonly #timeoutMilliseconds: number;
  readonly #connections: number;
  /** Exchanges under way on each agent that has some. */
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

  /** Throws ExchangeError when no whole answer came in time. */
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
      const body = await answer.body.json();
      return { status: answer.statusCode, body };
    } catch (cause) {
      if (abort.signal.aborted && this.#agent === agent) {
        this.#agent = this.#createAgent();
      }
      throw this.#toExchangeError(exchange, cause);
    } finally {
      stopTimer();
      this.#leave(agent);
    }
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    const agents = [this.#agent, ...this.#inFlight.keys()];
    await Promise.all(agents.map((agent) => agent.destroy()));
  }

  #createAgent(): Agent {
    return new Agent({
      connections: this.#connections,
      connect: { timeout: this.#timeoutMilliseconds },
    });
  }

  /**
   * Ends an agent that was replaced, once nothing is in flight on it: other
   * exchanges may be well, and each has a timeout of its own.
   */
  #leave(agent: Agent): void {
    const left = (this.#inFlight.get(agent) ?? 1) - 1;
    if (left > 0) {
      this.#inFlight.set(agent, left);
      return;
    }
    this.#inFlight.delete(agent);
    if (agent !== this.#agent) void agent.destroy();
  }

  #toExchangeError(exchange: JsonExchange, cause: unknown): ExchangeError {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return new ExchangeError(
      `Exchange "${exchange.method} ${exchange.path}" with ${this.#origin} failed: ${reason}`,
      { mayHaveArrived: !isRefusal(cause), cause },
    );
  }
}

/**
 * True only where no connection was made, so that nothing can have arrived. A
 * reset or a timeout is no proof, and neither is an unreachable host on a
 * connection that was open: only a failed system call `connect` is.
 */
export function isRefusal(cause: unknown): boolean {
  if (!(cause instanceof Error)) return false;
  const { code, syscall } = cause as {
    readonly code?: unknown;
    readonly syscall?: unknown;
  };
  return syscall === "connect" || code === "UND_ERR_CONNECT_TIMEOUT";
}
