import type { Agent } from "undici";
import { request as sendRequest } from "undici";

const DEFAULT_PIECES = [2, 3];
const SERVED_STATUS = 200;

/** One request of a caller. */
export interface AttemptOptions {
  readonly path: string;
  readonly host: string;
  readonly agent: Agent;
  readonly attemptId: string;
  readonly isGet: boolean;
  /** Number of pieces of each stage. */
  readonly pieces?: readonly number[] | undefined;
  readonly deadlineMilliseconds: number;
  /** Identical for attempts that share results; default the attempt's id. */
  readonly pieceKey?: string | undefined;
  /** The stream that the attempt takes up. */
  readonly resumed?: {
    readonly attemptId: string;
    readonly lastEventId: string;
  } | undefined;
  /** Receives the parts of an answer with status 200. */
  readonly onText?: ((text: string) => void) | undefined;
}

/**
 * Sends to the first address that accepts a connection; resolves to the status of
 * a whole answer, or undefined without one.
 */
export async function sendToFirst(
  addresses: readonly string[],
  options: AttemptOptions,
): Promise<number | undefined> {
  for (const address of addresses) {
    try {
      return await sendAttempt(address, options);
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== "ECONNREFUSED") break;
    }
  }
  return undefined;
}

/** Resolves to the status of a whole answer. */
async function sendAttempt(
  address: string,
  options: AttemptOptions,
): Promise<number> {
  const { path, host, agent, attemptId, isGet, deadlineMilliseconds } = options;
  const { pieces = DEFAULT_PIECES, pieceKey = attemptId } = options;
  const { resumed, onText } = options;
  const { statusCode, body } = await sendRequest(`http://${address}${path}`, {
    method: isGet ? "GET" : "POST",
    dispatcher: agent,
    signal: AbortSignal.timeout(deadlineMilliseconds),
    headers: {
      host,
      "x-attempt-id": attemptId,
      "x-deadline-ms": String(deadlineMilliseconds),
      "x-api-key": "key-1",
      "x-pieces": pieces.join(","),
      "x-piece-key": pieceKey,
      ...(resumed === undefined ? {} : {
        resumes: resumed.attemptId,
        "last-event-id": resumed.lastEventId,
      }),
    },
    body: isGet ? null : "body",
  });
  body.setEncoding("utf8");
  for await (const text of body as AsyncIterable<string>) {
    if (statusCode === SERVED_STATUS) onText?.(text);
  }
  return statusCode;
}
