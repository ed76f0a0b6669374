import type { IncomingMessage } from "node:http";
import type { RandomSource } from "kelpspar-shared";
import type { DaemonProcess } from "./daemon_process.ts";
import type { StopAttempt } from "../stops/stop_attempt.ts";
import type { StopSite } from "../stops/stop_sites.ts";
import type { StopSituation } from "../stops/stop_situation.ts";
import { Agent, request as sendHttpRequest } from "node:http";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";
import { request as sendRequest } from "undici";
import { drawEventCount } from "../stops/stream_lengths.ts";

const DIRECTORY_TIMEOUT_MILLISECONDS = 1_000;
const DIRECTORY_TRIES = 3;
const MAXIMUM_TTL_SECONDS = 5;
const MILLISECONDS_PER_SECOND = 1_000;
const EVENT_MILLISECONDS = 100;
const READ_PAUSE_MILLISECONDS = 50;
/** A failed address isn't used again for this time. */
const AVOIDED_MILLISECONDS = 1_000;

/** Options of a `DirectoryCaller`. */
export interface DirectoryCallerOptions {
  readonly name: string;
  readonly host: string;
  readonly daemons: readonly DaemonProcess[];
  readonly situation: StopSituation;
  readonly stopSite: StopSite;
  /** Availability zone that it resolves addresses for. */
  readonly zone: string;
  readonly random: RandomSource;
  /** Whether it uses a daemon until its process is gone. */
  readonly isSticky: boolean;
  /** Sends to this address only; default those of the directory. */
  readonly onlyAddress?: string;
}

/**
 * A caller that follows the directory for as long as its answers may be kept,
 * and keeps its connections open. It doesn't retry.
 */
export class DirectoryCaller {
  readonly attempts: StopAttempt[] = [];
  readonly #options: DirectoryCallerOptions;
  // Not undici, whose client fails an assertion when the connection of a body
  // that is read slowly ends.
  readonly #agent = new Agent({ keepAlive: true });
  readonly #open = new Set<Promise<void>>();
  readonly #avoidedUntil = new Map<string, number>();
  #addresses: readonly string[] = [];
  #keptUntil = 0;
  #current: string | undefined;
  #attemptCount = 0;

  constructor(options: DirectoryCallerOptions) {
    this.#options = options;
  }

  /** Sends requests at this interval until `isOver` returns true. */
  async run(
    intervalMilliseconds: number,
    isOver: () => boolean,
  ): Promise<void> {
    while (!isOver()) {
      const address = await this.#chooseAddress();
      if (address !== undefined) {
        const attempt = this.#send(address);
        this.#open.add(attempt);
        void attempt.finally(() => this.#open.delete(attempt));
      }
      await setTimeoutPromise(intervalMilliseconds);
    }
    await Promise.all(this.#open);
    this.#agent.destroy();
  }

  async #chooseAddress(): Promise<string | undefined> {
    const { isSticky, onlyAddress } = this.#options;
    if (onlyAddress !== undefined) return onlyAddress;
    if (isSticky && this.#current !== undefined) return this.#current;
    const addresses = await this.#resolve();
    const now = performance.now();
    const usable = addresses.filter((address) =>
      (this.#avoidedUntil.get(address) ?? 0) <= now
    );
    this.#current = this.#pick(usable.length > 0 ? usable : addresses);
    return this.#current;
  }

  async #resolve(): Promise<readonly string[]> {
    if (performance.now() < this.#keptUntil) return this.#addresses;
    for (let tries = 0; tries < DIRECTORY_TRIES; tries++) {
      const daemon = this.#pick(this.#options.daemons);
      try {
        const { body } = await sendRequest(
          `http://${daemon?.directory}/-/resolve?name=x&region=r&zone=${this.#options.zone}`,
          { signal: AbortSignal.timeout(DIRECTORY_TIMEOUT_MILLISECONDS) },
        );
        const { addresses = [], ttlS = 0 } = await body.json() as {
          readonly addresses?: readonly string[];
          readonly ttlS?: number;
        };
        if (addresses.length === 0) continue;
        this.#addresses = addresses;
        this.#keptUntil = performance.now() +
          Math.min(ttlS, MAXIMUM_TTL_SECONDS) * MILLISECONDS_PER_SECOND;
        break;
      } catch {
        // The next daemon is asked.
      }
    }
    return this.#addresses;
  }

  async #send(address: string): Promise<void> {
    const attemptId = `${this.#options.name}-${this.#attemptCount++}`;
    const sentAt = performance.now();
    let status: number | undefined;
    let retryAfterMilliseconds: number | undefined;
    const record = (isWhole: boolean, error?: string): void => {
      this.attempts.push({
        attemptId,
        address,
        sentAt,
        endedAt: performance.now(),
        status,
        isWhole,
        error,
        retryAfterMilliseconds,
      });
    };
    try {
      const response = await this.#exchange(address, attemptId);
      status = response.statusCode;
      const retryAfter = response.headers["retry-after"];
      retryAfterMilliseconds = retryAfter === undefined
        ? undefined
        : Number(retryAfter) * MILLISECONDS_PER_SECOND;
      const length = Number(response.headers["content-length"] ?? 0);
      await this.#read(response, length);
      record(response.complete);
    } catch (error) {
      const { code } = error as { readonly code?: string };
      record(false, code ?? String(error));
    }
    const { isWhole } = this.attempts.at(-1) ?? {};
    if (isWhole === true && status === 200) return;
    this.#avoidedUntil.set(address, performance.now() + AVOIDED_MILLISECONDS);
    const { error } = this.attempts.at(-1) ?? {};
    const isGone = error === "ECONNREFUSED" || !this.#options.isSticky;
    if (isGone && this.#current === address) this.#current = undefined;
  }

  /** Sends a request; resolves to the response, whose body isn't read yet. */
  #exchange(address: string, attemptId: string): Promise<IncomingMessage> {
    const { host, situation, stopSite } = this.#options;
    const { deadlineMilliseconds, pieces, hasSharedPieces } = stopSite;
    const { route, hasStages } = situation;
    const [hostname = "", port = ""] = address.split(":");
    const body = route === "often" ? "" : "body";
    return new Promise((resolve, reject) => {
      const request = sendHttpRequest({
        hostname,
        port,
        agent: this.#agent,
        method: route === "often" ? "GET" : "POST",
        path: `/${route}/x?${this.#answerQuery()}`,
        signal: AbortSignal.timeout(deadlineMilliseconds),
        headers: {
          host,
          "x-attempt-id": attemptId,
          "x-deadline-ms": deadlineMilliseconds,
          "x-api-key": "key-1",
          "content-length": body.length,
          ...(hasStages
            ? {
              "x-pieces": pieces.join(","),
              "x-piece-key": hasSharedPieces ? "k" : attemptId,
            }
            : {}),
        },
      });
      request.on("response", resolve);
      request.on("error", reject);
      request.end(body);
    });
  }

  /** Reads a body, at an even speed if callers read slowly. */
  async #read(body: AsyncIterable<Buffer>, length: number): Promise<void> {
    const { readMilliseconds } = this.#options.situation;
    const startedAt = performance.now();
    let received = 0;
    for await (const chunk of body) {
      received += chunk.length;
      if (readMilliseconds === 0) continue;
      const dueAt = startedAt + readMilliseconds * received / length;
      while (performance.now() < dueAt) {
        await setTimeoutPromise(READ_PAUSE_MILLISECONDS);
      }
    }
  }

  #answerQuery(): string {
    const { situation, random } = this.#options;
    const { answerMilliseconds: [minimum, maximum], route, bytes } = situation;
    const { streamLengths } = situation;
    if (streamLengths !== undefined) {
      const events = drawEventCount(streamLengths, random);
      return `events=${events}&delay=${streamLengths.eventMilliseconds}`;
    }
    const milliseconds = Math.round(
      minimum + random.next() * (maximum - minimum),
    );
    if (route === "once" || route === "often") {
      return `delay=${milliseconds}&bytes=${bytes}`;
    }
    const events = Math.max(1, Math.round(milliseconds / EVENT_MILLISECONDS));
    return `events=${events}&delay=${Math.round(milliseconds / events)}`;
  }

  #pick<Value>(values: readonly Value[]): Value | undefined {
    return values[this.#options.random.nextInteger(Math.max(1, values.length))];
  }
}
