import type { TimerService } from "kelpspar-shared";
import type { Sent } from "./send_result.ts";
import { closeSent } from "./send_result.ts";

/** Whether a send has no answer after `wait` milliseconds. */
export function isOverdue(
  sent: Promise<Sent>,
  wait: number,
  timer: TimerService,
): Promise<boolean> {
  return new Promise((resolve) => {
    const stop = timer.registerTimeout(() => resolve(true), wait);
    void sent.then(() => {
      stop();
      resolve(false);
    });
  });
}

/** The first good answer of several sends; the others are closed. */
export function firstGood(sends: readonly Promise<Sent>[]): Promise<Sent> {
  return new Promise((resolve) => {
    let open = sends.length;
    let isDone = false;
    for (const send of sends) {
      void send.then((sent) => {
        open--;
        if (isDone) closeSent(sent);
        else if (isGood(sent) || open === 0) {
          isDone = true;
          resolve(sent);
        }
      });
    }
  });
}

function isGood({ answer }: Sent): boolean {
  return answer.type === "answered" && answer.status < 500;
}
