import type { Readable } from "node:stream";
import type { BodyLimitReason } from "./body_limit_error.ts";
import type { ReadBudget } from "./read_budget.ts";
import { BodyBuffer } from "./body_buffer.ts";
import { BodyLimitError } from "./body_limit_error.ts";
import { PROCESS_READ_BUDGET } from "./process_read_budget.ts";

/** Largest answer that is buffered whole. */
export const MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;

/** Time that a body may take. */
export interface BodyTimeLimit {
  /** The timer service, which this package doesn't depend on. */
  readonly timer: {
    /** Calls `listener` once after `milliseconds`; returns the teardown. */
    registerTimeout(listener: () => void, milliseconds: number): () => void;
  };
  /** From the call of `readBody`, milliseconds. */
  readonly milliseconds: number;
}

/** Options of `readBody`. */
export interface ReadBodyOptions {
  /** Default 16 MiB. */
  readonly maximumBytes?: number;
  /** Absent where a signal or a deadline closes the body. */
  readonly time?: BodyTimeLimit | undefined;
  /** Called for each part that is received. */
  readonly onPart?: (() => void) | undefined;
  /** Default: that of the process. */
  readonly budget?: ReadBudget;
}

/**
 * Reads a whole body. Rejects if it is truncated, and with `BodyLimitError` if
 * it exceeds a limit, after closing its connection. Uses events, because an
 * iterator of the stream costs more than reading a small body.
 */
export function readBody(
  body: Readable,
  options: ReadBodyOptions = {},
): Promise<Buffer> {
  const {
    maximumBytes = MAXIMUM_BODY_BYTES,
    time,
    onPart = (): void => {},
    budget = PROCESS_READ_BUDGET,
  } = options;
  return new Promise((resolve, reject) => {
    const buffer = new BodyBuffer();
    const fail = (error: Error): void => {
      buffer.clear();
      end();
      reject(error);
    };
    const onCut = (): void => fail(new Error("The answer is truncated"));
    const giveUp = (reason: BodyLimitReason): void => {
      const error = new BodyLimitError(reason);
      fail(error);
      body.off("data", onData).destroy(error);
    };
    const holding = budget.open(() => giveUp("memory"));
    const stopTimer = time?.timer.registerTimeout(
      () => giveUp("slow_body"),
      time.milliseconds,
    );
    const end = (): void => {
      stopTimer?.();
      holding.end();
    };
    const onData = (chunk: Buffer): void => {
      const length = buffer.length + chunk.length;
      if (length > maximumBytes) return giveUp("oversized_body");
      buffer.append(chunk);
      holding.set(buffer.capacity);
      onPart();
    };
    // A body that was destroyed before emits no more events.
    if (body.destroyed && !body.readableEnded) return onCut();
    body.once("error", fail);
    body.once("close", onCut);
    body.once("end", () => {
      end();
      resolve(buffer.take());
    });
    body.on("data", onData);
  });
}
