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
  /** What a daemon or endpoint answered instead of serving. */
  readonly reason?: string | undefined;
  /** Whole events of a stream, over all of its attempts; default none. */
  readonly events?: string;
  /** Ids of later attempts that took up the stream; default none. */
  readonly resumingIds?: readonly string[];
  /** How many of those brought more events. */
  readonly resumedCount?: number;
}

const SERVED_STATUS = 200;
const DEADLINE_MILLISECONDS = 2_500;
/** Share of resumable streams whose connection the caller breaks. */
const BROKEN_SHARE = 0.3;
/** Attempts that take up one stream. */
const MAXIMUM_RESUMES = 2;
const EVENT_PATTERN = /id: (\d+)\n[^\n]*\n\n/g;
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
  readonly #sharedParts: readonly string[] | undefined;
  readonly #agent = new Agent({ pipelining: 1 });
  #attemptCount = 0;

  constructor(options: {
    readonly name: string;
    readonly daemons: readonly DaemonProcess[];
    readonly random: RandomSource;
    /** Path below the route's prefix; default `x`. */
    readonly target?: string;
    readonly routes?: readonly WireRoute[];
    /** Ids of the prompt's parts before its own last one; default no prompt. */
    readonly sharedParts?: readonly string[];
    /** Pause between a response and the next request; default 0. */
    readonly pauseMilliseconds?: number;
  }) {
    this.#target = options.target ?? "x";
    this.#routes = options.routes ?? WIRE_ROUTES;
    this.#pauseMilliseconds = options.pauseMilliseconds ?? 0;
    this.#sharedParts = options.sharedParts;
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
      const answer = await this.#sendAttempt(address, route);
      this.answers.push(
        route === "resumed" ? await this.#resume(answer, addresses) : answer,
      );
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

  /** Takes a broken stream up at other daemons, as often as callers do. */
  async #resume(
    first: WireAnswer,
    addresses: readonly string[],
  ): Promise<WireAnswer> {
    const { attemptId: resumes } = first;
    let last = first;
    let events = first.events ?? "";
    const resumingIds: string[] = [];
    let resumedCount = 0;
    while (last.text === undefined && resumingIds.length < MAXIMUM_RESUMES) {
      const lastEventId = [...events.matchAll(EVENT_PATTERN)].at(-1)?.[1];
      const address = this.#pickRandom(addresses);
      if (lastEventId === undefined || address === undefined) break;
      const headers = { resumes, "last-event-id": lastEventId };
      last = await this.#sendAttempt(address, first.route, headers);
      resumingIds.push(last.attemptId);
      if (last.events !== undefined && last.events !== "") resumedCount++;
      events += last.events ?? "";
    }
    const text = last.text === undefined ? undefined : events;
    return {
      ...last,
      attemptId: resumes,
      text,
      events,
      resumingIds,
      resumedCount,
    };
  }

  async #sendAttempt(
    address: string,
    route: WireRoute,
    resumingHeaders: Readonly<Record<string, string>> = {},
  ): Promise<WireAnswer> {
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
            ...this.#promptHeader(),
            ...resumingHeaders,
          },
          body: route === "often" ? null : "body",
        },
      );
      const isBroken = route === "resumed" &&
        this.#random.next() < BROKEN_SHARE;
      const { isWhole, received } = await readText(body, isBroken);
      const isStream = route === "stream" || route === "resumed";
      const lines = received.replaceAll(/\r\n?/g, "\n");
      const events = isStream && statusCode === SERVED_STATUS
        ? (lines.match(EVENT_PATTERN) ?? []).join("")
        : "";
      const text = isWhole ? received : undefined;
      const reason = statusCode === SERVED_STATUS ? undefined : received;
      return { ...answer, status: statusCode, text, events, reason };
    } catch {
      // The connection was refused, reset or too slow: the outcome is unknown.
      return { ...answer, status: undefined, text: undefined };
    }
  }

  #promptHeader(): Readonly<Record<string, string>> {
    if (this.#sharedParts === undefined) return {};
    const own = `e${this.#attemptCount.toString(16)}`;
    const parts = [...this.#sharedParts, own].map((id) => `${id}:100`);
    return { "x-prompt-prefix": parts.join(",") };
  }

  #pickRandom<Value>(values: readonly Value[]): Value | undefined {
    return values[this.#random.nextInteger(Math.max(1, values.length))];
  }
}

/**
 * Reads a body, or only its first chunk if the caller breaks its connection;
 * what arrived of a truncated one counts as received.
 */
async function readText(
  body: AsyncIterable<Buffer>,
  isBroken: boolean,
): Promise<{ readonly isWhole: boolean; readonly received: string }> {
  const chunks: Buffer[] = [];
  let isWhole = false;
  try {
    for await (const chunk of body) {
      chunks.push(chunk);
      if (isBroken) break;
    }
    isWhole = !isBroken;
  } catch {
    // The connection was reset, or the deadline has passed.
  }
  return { isWhole, received: Buffer.concat(chunks).toString() };
}
