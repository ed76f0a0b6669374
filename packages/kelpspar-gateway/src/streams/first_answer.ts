import type { TimerService } from "kelpspar-shared";

/** Options of `firstAnswer`. */
export interface FirstAnswerOptions<Answer> {
  /** Whether an answer is the one that is looked for. */
  readonly isFound: (answer: Answer) => boolean;
  readonly timeoutMilliseconds: number;
  readonly timer: TimerService;
}

/** What `firstAnswer` received in time. */
export interface FirstAnswer<Answer> {
  readonly found: Answer | undefined;
  /** All answers until then. */
  readonly answers: readonly Answer[];
}

/**
 * Resolves with the first answer that is looked for, when all calls have
 * settled, or at the timeout. Never rejects.
 */
export function firstAnswer<Answer>(
  calls: readonly Promise<Answer>[],
  { isFound, timeoutMilliseconds, timer }: FirstAnswerOptions<Answer>,
): Promise<FirstAnswer<Answer>> {
  const answers: Answer[] = [];
  if (calls.length === 0) return Promise.resolve({ found: undefined, answers });
  return new Promise((resolve) => {
    let open = calls.length;
    const end = (found?: Answer): void => {
      stopTimer();
      resolve({ found, answers });
    };
    const stopTimer = timer.registerTimeout(end, timeoutMilliseconds);
    for (const call of calls) {
      call.then((answer) => {
        answers.push(answer);
        if (isFound(answer)) end(answer);
      }, () => {}).finally(() => {
        open--;
        if (open === 0) end();
      });
    }
  });
}
