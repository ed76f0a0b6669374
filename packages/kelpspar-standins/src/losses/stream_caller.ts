import type { RandomSource } from "kelpspar-shared";
import type { DaemonProcess } from "../wire/daemon_process.ts";
import type { StreamAttempt, StreamRecord } from "./stream_record.ts";
import { Agent } from "node:http";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";
import { sendStreamAttempt } from "../wire/send_stream_attempt.ts";
import { timeReadyAnswer } from "./time_ready_answer.ts";

const PAUSE_MILLISECONDS = 400;
const DEFAULT_MAXIMUM_TRIES = 10;
const DEADLINE_MILLISECONDS = 14_000;
/** A caller leaves a daemon that sends nothing for this time. */
const IDLE_MILLISECONDS = 3_500;
const PATH = "/resumed/x";

/** Options of a `StreamCaller`. */
export interface StreamCallerOptions {
  /** Start of its attempt ids. */
  readonly name?: string;
  readonly host: string;
  readonly daemons: readonly DaemonProcess[];
  readonly random: RandomSource;
  /** Number of events in a complete stream. */
  readonly events: number;
  readonly pieces: readonly number[];
  /**
   * Whether it keeps connections open, and uses a daemon until that accepts no
   * more.
   */
  readonly isKeptOpen?: boolean;
}

/** Options of one stream. */
export interface FollowOptions {
  readonly isNew?: boolean;
  /** Tries in a row that may bring no event; default 10. */
  readonly maximumTries?: number;
  /** Leaves for good after this many events; default never. */
  readonly maximumEvents?: number;
}

/** A caller that takes its streams up again, at any daemon. */
export class StreamCaller {
  readonly #options: StreamCallerOptions;
  readonly #agent: Agent;
  #attemptCount = 0;
  /** Index of the daemon that accepted the last connection. */
  #lastDaemon: number | undefined;

  constructor(options: StreamCallerOptions) {
    this.#options = options;
    this.#agent = new Agent({ keepAlive: options.isKeptOpen ?? false });
  }

  end(): void {
    this.#agent.destroy();
  }

  /** Follows a stream until its end, or until too many tries bring nothing. */
  async follow(options: FollowOptions = {}): Promise<StreamRecord> {
    const { isNew = false, maximumEvents } = options;
    const { maximumTries = DEFAULT_MAXIMUM_TRIES } = options;
    const { events: eventCount } = this.#options;
    const last = Math.min(maximumEvents ?? eventCount, eventCount);
    const deadlineAt = performance.now() + DEADLINE_MILLISECONDS;
    const attempts: StreamAttempt[] = [];
    for (let tries = 0; tries < maximumTries; tries++) {
      if (attempts.length > 0) await setTimeoutPromise(PAUSE_MILLISECONDS);
      const deadlineMilliseconds = deadlineAt - performance.now();
      if (deadlineMilliseconds <= 0) break;
      const attempt = await this.#sendToFirst(attempts, {
        deadlineMilliseconds,
        ...(maximumEvents === undefined ? {} : { maximumEvents }),
      });
      attempts.push(attempt);
      if (attempt.events.length > 0) tries = -1;
      if (Number(attempt.events.at(-1)?.id) >= last) break;
    }
    return { isNew, attempts };
  }

  /** Sends to the first daemon that accepts the connection. */
  async #sendToFirst(
    attempts: readonly StreamAttempt[],
    limits: {
      readonly deadlineMilliseconds: number;
      readonly maximumEvents?: number;
    },
  ): Promise<StreamAttempt> {
    const { name = "s", host, daemons, pieces, events } = this.#options;
    const begun = attempts.filter((attempt) => attempt.events.length > 0);
    const lastEvent = begun.at(-1)?.events.at(-1);
    const attemptId = `${name}${this.#attemptCount++}`;
    const first = this.#chooseFirst();
    const ordered = [...daemons.slice(first), ...daemons.slice(0, first)];
    let attempt: StreamAttempt | undefined;
    for (const daemon of ordered) {
      const ready = lastEvent === undefined ? 0 : timeReadyAnswer(daemon);
      const sent = await sendStreamAttempt({
        ...limits,
        address: daemon.front,
        path: `${PATH}?events=${events}`,
        host,
        agent: this.#agent,
        attemptId,
        pieces,
        idleMilliseconds: IDLE_MILLISECONDS,
        ...(begun[0] === undefined || lastEvent === undefined ? {} : {
          resumed: {
            firstAttemptId: begun[0].attemptId,
            lastEventId: lastEvent.id,
          },
        }),
      });
      attempt = { ...sent, readyMilliseconds: await ready };
      if (!sent.isConnected) continue;
      this.#lastDaemon = daemons.indexOf(daemon);
      break;
    }
    if (attempt === undefined) throw new TypeError("There is no daemon");
    return attempt;
  }

  #chooseFirst(): number {
    const { daemons, random, isKeptOpen = false } = this.#options;
    const kept = isKeptOpen ? this.#lastDaemon : undefined;
    return kept ?? random.nextInteger(daemons.length);
  }
}
