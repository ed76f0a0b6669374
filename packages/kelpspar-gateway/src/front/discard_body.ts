import type { IncomingMessage } from "node:http";
import type { TimerService } from "kelpspar-shared";
import { DiscardLimit } from "kelpspar-peers";
import { SystemTimer } from "kelpspar-shared";

/**
 * More bytes of a discarded body end its connection. Enough for bodies several
 * times the default limit.
 */
export const MAXIMUM_DISCARDED_BYTES = 16 * 1024 * 1024;
/** Time for the rest of a discarded body, milliseconds. */
const MAXIMUM_DISCARDING_MILLISECONDS = 10_000;

/** Limits of a body that is read and discarded. */
export interface DiscardOptions {
  readonly timer?: TimerService;
  readonly maximumBytes?: number;
  readonly maximumMilliseconds?: number;
}

const systemTimer = new SystemTimer();

/**
 * Reads and discards the rest of a body; beyond a limit the connection is
 * closed. Closing it while the caller still sends would reset it, and the
 * caller would lose the answer. Resolves true at the end of the body, and false
 * if the connection closes before it.
 */
export function discardBody(
  message: IncomingMessage,
  options: DiscardOptions = {},
): Promise<boolean> {
  const {
    timer = systemTimer,
    maximumBytes = MAXIMUM_DISCARDED_BYTES,
    maximumMilliseconds = MAXIMUM_DISCARDING_MILLISECONDS,
  } = options;
  if (message.complete && message.readableEnded) return Promise.resolve(true);
  return new Promise((resolve) => {
    const limit = new DiscardLimit(maximumBytes);
    const cancelTimeout = timer.registerTimeout(
      () => message.destroy(),
      maximumMilliseconds,
    );
    const end = (isWhole: boolean): void => {
      cancelTimeout();
      resolve(isWhole);
    };
    message.once("end", () => end(true));
    message.once("close", () => end(message.readableEnded));
    // The caller may reset its connection.
    message.on("error", () => {});
    message.on("data", (chunk: Buffer) => {
      limit.add(chunk);
      if (limit.isExceeded) message.destroy();
    });
    // Without a read of its own, Node.js drops the body unseen once the response
    // has finished.
    message.read(0);
  });
}
