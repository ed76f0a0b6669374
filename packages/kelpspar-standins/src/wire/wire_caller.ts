import type { RandomSource } from "kelpspar-shared";
import type { DaemonProcess } from "./daemon_process.ts";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";
import { Agent, request as sendRequest } from "undici";

/** Names of the site's routes that callers use. */
export const WIRE_ROUTES = ["once", "often", "stream", "resumed"] as const;

/** The name of a route. */
export type WireRoute = typeof WIRE_ROUTES[number];

/** The outcome of one attempt of a caller. */
export interface WireAnswer {
  readonly attemptId: string;
  readonly route: WireRoute;
  /** Undefined when the connection ended without a response. */
  readonly status: number | undefined;
  /** Undefined when the body was truncated. */
  readonly text: string | undefined;
}

const DEADLINE_MILLISECONDS = 2_500;
const DIRECTORY_TIMEOUT_MILLISECONDS = 1_000;

/** A caller that resolves addresses, reuses connections and sends requests. */
export class WireCaller {
  readonly answers: WireAnswer[] = [];
  readonly #daemons: readonly DaemonProcess[];
  readonly #random: RandomSource;
  readonly #name: string;
  readonly #target: string;
  readonly #routes: readonly WireRoute[];
  readonly #pauseMilliseconds: number;
  readonly #agent = new Agent({ pipelining: 1 });
  #attemptCount = 0;

  constructor(options: {
    readonly name: string;
    readonly daemons: readonly DaemonProcess[];
    readonly random: RandomSource;
    /** Path below the route's prefix; default `x`. */
    readonly target?: string;
    readonly routes?: readonly WireRoute[];
    /** Pause between a response and the next request; default 0. */
    readonly pauseMilliseconds?: number;
  }) {
    this.#target = options.target ?? "x";
    this.#routes = options.routes ?? WIRE_ROUTES;
    this.#pauseMilliseconds = options.pauseMilliseconds ?? 0;
    this.#name = options.name;
    this.#daemons = options.daemons;
    this.#random = options.random;
  }

  /** Sends requests one at a time until `isOver` returns true. */
  async run(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      const addresses = await this.#resolve();
      const address = this.#pickRandom(addresses);
      if (address === undefined) continue;
      const route = this.#pickRandom(this.#routes) ?? "once";
      this.answers.push(await this.#sendAttempt(address, route));
      await setTimeoutPromise(this.#pauseMilliseconds);
    }
    await this.#agent.destroy();
  }

  async #resolve(): Promise<readonly string[]> {
    const daemon = this.#pickRandom(this.#daemons);
    try {
      const { body } = await sendRequest(
        `http://${daemon?.directory}/-/resolve?name=x&region=r&zone=a`,
        { signal: AbortSignal.timeout(DIRECTORY_TIMEOUT_MILLISECONDS) },
      );
      const answer = await body.json() as { readonly addresses?: string[] };
      return answer.addresses ?? [];
    } catch {
      // The next iteration picks a daemon again.
      return [];
    }
  }

  async #sendAttempt(address: string, route: WireRoute): Promise<WireAnswer> {
    const attemptId = `${this.#name}-${this.#attemptCount++}`;
    const answer = { attemptId, route };
    try {
      const { statusCode, body } = await sendRequest(
        `http://${address}/${route}/${this.#target}`,
        {
          method: route === "often" ? "GET" : "POST",
          dispatcher: this.#agent,
          signal: AbortSignal.timeout(DEADLINE_MILLISECONDS),
          headers: {
            host: "site.example",
            "x-attempt-id": attemptId,
            "x-deadline-ms": String(DEADLINE_MILLISECONDS),
            "x-api-key": "key-1",
            "x-pieces": "2,3",
            "x-piece-key": "k",
          },
          body: route === "often" ? null : "body",
        },
      );
      const text = await body.text().catch(() => undefined);
      return { ...answer, status: statusCode, text };
    } catch {
      // The connection was refused, reset or too slow: the outcome is unknown.
      return { ...answer, status: undefined, text: undefined };
    }
  }

  #pickRandom<Value>(values: readonly Value[]): Value | undefined {
    return values[this.#random.nextInteger(Math.max(1, values.length))];
  }
}
