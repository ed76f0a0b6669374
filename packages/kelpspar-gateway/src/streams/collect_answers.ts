import type { TimerService } from "kelpspar-shared";

/** Options of `collectAnswers`. */
export interface CollectAnswersOptions<Answer> {
  /** Whether these answers suffice; asked after each one. */
  readonly isEnough: (answers: readonly Answer[]) => boolean;
  readonly timeoutMilliseconds: number;
  readonly timer: TimerService;
}

/**
 * Collects the answers of calls until they suffice, all calls have settled, or
 * the timeout. Calls that fail have no answer. Never rejects.
 */
export function collectAnswers<Answer>(
  calls: readonly Promise<Answer>[],
  { isEnough, timeoutMilliseconds, timer }: CollectAnswersOptions<Answer>,
): Promise<readonly Answer[]> {
  const answers: Answer[] = [];
  if (calls.length === 0) return Promise.resolve(answers);
  return new Promise((resolve) => {
    let open = calls.length;
    const end = (): void => {
      stopTimer();
      resolve([...answers]);
    };
    const stopTimer = timer.registerTimeout(end, timeoutMilliseconds);
    for (const call of calls) {
      call.then((answer) => void answers.push(answer), () => {}).then(() => {
        open--;
        if (open === 0 || isEnough(answers)) end();
      });
    }
  });
}
