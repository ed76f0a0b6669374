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
 * Resolves to the first successful result of several sends, or to the last one
 * if none succeeds. Answers that arrive later are closed.
 */
export function firstSuccessful(
  sends: readonly Promise<SendResult>[],
): Promise<SendResult> {
  return new Promise((resolve) => {
    let open = sends.length;
    let isResolved = false;
    for (const send of sends) {
      void send.then((result) => {
        open--;
        if (isResolved) closeAnswer(result);
        else if (isSuccessful(result) || open === 0) {
          isResolved = true;
          resolve(result);
        }
      });
    }
  });
}

/** True for an answer that isn't an endpoint's failure. */
export function isSuccessful({ answer }: SendResult): boolean {
  return answer.type === "answered" && answer.status < 500;
}
