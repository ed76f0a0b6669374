import type { TimerService } from "kelpspar-shared";
import type { SendResult } from "./send_result.ts";
import { closeAnswer } from "./send_result.ts";

/** Resolves to true if a send has no result after `wait` milliseconds. */
export function isOverdue(
  send: Promise<SendResult>,
  wait: number,
  timer: TimerService,
): Promise<boolean> {
  return new Promise((resolve) => {
    const stop = timer.registerTimeout(() => resolve(true), wait);
    const end = (): void => {
      stop();
      resolve(false);
    };
    send.then(end, end);
  });
}

/**
 * Resolves to the first successful of two results, or to the last one if none
 * is. The other call goes on, as the answer may still be cut.
 */
export async function firstSuccessful(
  left: Promise<SendResult>,
  right: Promise<SendResult>,
): Promise<SendResult> {
  const [result, other] = await Promise.race([
    left.then((first) => [first, right] as const),
    right.then((first) => [first, left] as const),
  ]);
  if (isSuccessful(result)) return { ...result, other };
  closeAnswer(result);
  return await other;
}

/** True for an answer that isn't an endpoint's failure. */
export function isSuccessful({ answer }: SendResult): boolean {
  return answer.type === "answered" && answer.status < 500;
}
