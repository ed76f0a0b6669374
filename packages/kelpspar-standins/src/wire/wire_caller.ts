import type { RandomSource } from "kelpspar-shared";
import type { DaemonProcess } from "./daemon_process.ts";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";
import { Agent, request as sendRequest } from "undici";

/** Routes of the site that callers use. */
export const WIRE_ROUTES = ["once", "often", "stream", "resumed"] as const;

/** A route of the site. */
export type WireRoute = typeof WIRE_ROUTES[number];

/** What a caller got for one attempt. */
export interface WireAnswer {
  readonly attemptId: string;
  readonly route: WireRoute;
  /** Undefined when the connection ended without an answer. */
  readonly status: number | undefined;
  /** Undefined when the body was cut. */
  readonly text: string | undefined;
}

const DEADLINE_MILLISECONDS = 2_500;
const DIRECTORY_MILLISECONDS = 1_000;

/** One caller: asks the directory, keeps connections, sends requests. */
export class WireCaller {
  readonly answers: WireAnswer[] = [];
  readonly #daemons: readonly DaemonProcess[];
  readonly #random: RandomSource;
  readonly #name: string;
  readonly #target: string;
  readonly #routes: readonly WireRoute[];
  readonly #pauseMilliseconds: number;
  readonly #agent = new Agent({ pipelining: 1 });
  #count = 0;

  constructor(options: {
    readonly name: string;
    readonly daemons: readonly DaemonProcess[];
    readonly random: RandomSource;
    /** The path below the route. */
    readonly target?: string;
    readonly routes?: readonly WireRoute[];
    /** Between an answer and the next request. */
    readonly pauseMilliseconds?: number;
  }) {
    this.#target = options.target ?? "x";
    this.#routes = options.routes ?? WIRE_ROUTES;
    this.#pauseMilliseconds = options.pauseMilliseconds ?? 0;
    this.#name = options.name;
    this.#daemons = options.daemons;
    this.#random = options.random;
  }

  /** Sends requests one after the other until `isOver`. */
  async run(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      const addresses = await this.#resolve();
      const address = this.#draw(addresses);
      if (address === undefined) continue;
      const route = this.#draw(this.#routes) ?? "once";
      this.answers.push(await this.#ask(address, route));
      await setTimeoutPromise(this.#pauseMilliseconds);
    }
    await this.#agent.destroy();
  }

  async #resolve(): Promise<readonly string[]> {
    const daemon = this.#draw(this.#daemons);
    try {
      const { body } = await sendRequest(
        `http://${daemon?.directory}/-/resolve?name=x&region=r&zone=a`,
        { signal: AbortSignal.timeout(DIRECTORY_MILLISECONDS) },
      );
      const answer = await body.json() as { readonly addresses?: string[] };
      return answer.addresses ?? [];
    } catch {
      // Another daemon is asked in the next round.
      return [];
    }
  }

  async #ask(address: string, route: WireRoute): Promise<WireAnswer> {
    const attemptId = `${this.#name}-${this.#count++}`;
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
      // Nothing was promised: the connection was refused, reset or too slow.
      return { ...answer, status: undefined, text: undefined };
    }
  }

  #draw<Value>(values: readonly Value[]): Value | undefined {
    return values[this.#random.nextInteger(Math.max(1, values.length))];
  }
}
