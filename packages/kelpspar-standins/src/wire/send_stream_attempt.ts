import type { Agent } from "node:http";
import type { StreamAttempt, StreamEvent } from "../losses/stream_record.ts";
import { request as sendRequest } from "node:http";

/** One attempt of a caller at one daemon. */
export interface SendStreamOptions {
  /** Address of the daemon, `address:port`. */
  readonly address: string;
  readonly path: string;
  readonly host: string;
  readonly agent: Agent;
  readonly attemptId: string;
  /** Number of pieces of each stage. */
  readonly pieces: readonly number[];
  readonly deadlineMilliseconds: number;
  /** The stream to take up; none begins a new one. */
  readonly resumed?: {
    readonly firstAttemptId: string;
    readonly lastEventId: number;
  } | undefined;
  /** Leaves when nothing arrives for this time; default never. */
  readonly idleMilliseconds?: number;
  /** Leaves after this many events; default never. */
  readonly maximumEvents?: number;
}

/** An attempt, or the reason why no connection was made. */
export interface SentAttempt extends Omit<StreamAttempt, "readyMilliseconds"> {
  readonly isConnected: boolean;
  /** Monotonic milliseconds. */
  readonly sentAt: number;
  readonly endedAt: number;
  /** Whether the whole response arrived. */
  readonly isWhole: boolean;
  /** What arrived of the response's body. */
  readonly text: string;
}

const EVENT = /id: (\d+)\ndata: \S+ \d+ (\S+)\n\n/g;

/** Never rejects; a broken stream has its whole events. */
export function sendStreamAttempt(
  options: SendStreamOptions,
): Promise<SentAttempt> {
  const { address, path, host, agent, attemptId, resumed } = options;
  const { deadlineMilliseconds, maximumEvents = Number.POSITIVE_INFINITY } =
    options;
  let status: number | undefined;
  let acceptedAt: number | undefined;
  let isWhole = false;
  const sentAt = performance.now();
  let statusMilliseconds = 0;
  let text = "";
  return new Promise((resolve) => {
    const end = (): void => {
      clearTimeout(timeout);
      request.destroy();
      resolve({
        attemptId,
        status,
        statusMilliseconds,
        events: status === 200 ? readEvents(text) : [],
        isResumed: resumed !== undefined,
        isConnected: acceptedAt !== undefined,
        sentAt,
        endedAt: performance.now(),
        isWhole,
        text,
      });
    };
    const request = sendRequest(`http://${address}${path}`, {
      method: "POST",
      agent,
      headers: {
        host,
        "x-attempt-id": attemptId,
        "x-deadline-ms": String(Math.floor(deadlineMilliseconds)),
        "x-api-key": "key-1",
        "x-pieces": options.pieces.join(","),
        "x-piece-key": attemptId,
        ...(resumed === undefined ? {} : {
          "resumes": resumed.firstAttemptId,
          "last-event-id": String(resumed.lastEventId),
        }),
      },
    });
    const timeout = setTimeout(end, deadlineMilliseconds);
    if (options.idleMilliseconds !== undefined) {
      request.setTimeout(options.idleMilliseconds, end);
    }
    request.on("socket", (socket) => {
      if (!socket.connecting) acceptedAt = performance.now();
      else socket.once("connect", () => acceptedAt = performance.now());
    });
    request.on("error", end);
    request.on("response", (response) => {
      status = response.statusCode;
      statusMilliseconds = performance.now() - (acceptedAt ?? 0);
      response.on("data", (chunk: Buffer) => {
        text += chunk.toString();
        if (maximumEvents === Number.POSITIVE_INFINITY) return;
        if (readEvents(text).length >= maximumEvents) end();
      });
      response.on("close", () => {
        isWhole = response.complete;
        end();
      });
      response.on("error", end);
    });
    request.end("body");
  });
}

function readEvents(text: string): readonly StreamEvent[] {
  return [...text.matchAll(EVENT)].map(([, id, version = ""]) => ({
    id: Number(id),
    version,
  }));
}
