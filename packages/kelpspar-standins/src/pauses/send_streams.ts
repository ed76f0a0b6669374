import type { RandomSource } from "kelpspar-shared";
import type { DaemonProcess } from "../wire/daemon_process.ts";
import type { PausedStream } from "./paused_stream.ts";
import type { PauseSituation } from "./pause_situation.ts";
import { Agent } from "node:http";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";
import { drawEventCount } from "../stops/stream_lengths.ts";
import { sendStreamAttempt } from "../wire/send_stream_attempt.ts";
import { ROUTE_TIMEOUT_MILLISECONDS } from "./pause_series.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/** Lengths with a mean of 82 events. */
const STREAM_LENGTHS = {
  medianEvents: 64,
  deviation: 0.7,
  maximumEvents: 240,
  eventMilliseconds: 60,
};

/** Options of `sendStreams`. */
export interface SendStreamsOptions {
  readonly daemons: readonly DaemonProcess[];
  readonly host: string;
  readonly random: RandomSource;
  readonly path: string;
  /** Number of pieces of each stage. */
  readonly pieces: readonly number[];
  /** Called when the last one was sent. */
  readonly onSent: () => void;
}

/**
 * Sends streams at a steady rate over open connections to daemons in turn, and to
 * the next one where no connection is accepted.
 */
export async function sendStreams(
  { perSecond, seconds }: Pick<PauseSituation, "perSecond" | "seconds">,
  { daemons, host, random, path, pieces, onSent }: SendStreamsOptions,
): Promise<readonly PausedStream[]> {
  const agent = new Agent({ keepAlive: true });
  const send = async (number: number): Promise<PausedStream> => {
    const attemptId = `p${number}`;
    const events = drawEventCount(STREAM_LENGTHS, random);
    const { eventMilliseconds } = STREAM_LENGTHS;
    const first = number % daemons.length;
    const ordered = [...daemons.slice(first), ...daemons.slice(0, first)];
    let stream: PausedStream | undefined;
    for (const { front } of ordered) {
      const { isConnected, status, sentAt, endedAt, isWhole, text } =
        await sendStreamAttempt({
          address: front,
          // Requests with the same path and body are blamed together for endpoints
          // that end while they run.
          path: `${path}${number}?events=${events}&delay=${eventMilliseconds}`,
          host,
          agent,
          attemptId,
          pieces,
          deadlineMilliseconds: ROUTE_TIMEOUT_MILLISECONDS,
        });
      stream = {
        attemptId,
        address: front,
        events,
        sentAt,
        endedAt,
        status,
        isWhole,
        text,
        error: isConnected ? undefined : "ECONNREFUSED",
        retryAfterMilliseconds: undefined,
      };
      if (isConnected) break;
    }
    if (stream === undefined) throw new TypeError("There is no daemon");
    return stream;
  };
  const startedAt = performance.now();
  const streams: Promise<PausedStream>[] = [];
  for (let number = 0; number < seconds * perSecond; number++) {
    const due = startedAt + number * MILLISECONDS_PER_SECOND / perSecond;
    await setTimeoutPromise(Math.max(0, due - performance.now()));
    streams.push(send(number));
  }
  onSent();
  const sent = await Promise.all(streams);
  agent.destroy();
  return sent;
}
