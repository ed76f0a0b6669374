import type { ResultName } from "kelpspar-shared";
import { KelpsparError, RESULT_CODES } from "kelpspar-shared";
import { z } from "zod";

const failureSchema = z.looseObject({
  result: z.custom<ResultName>((value) =>
    typeof value === "string" && Object.hasOwn(RESULT_CODES, value)
  ),
  message: z.string(),
});

/** The body by which a daemon refuses an operator's command. */
export type FailureAnswer = z.infer<typeof failureSchema>;

/** Reads a refusal; undefined for anything else. */
export function readFailure(body: unknown): FailureAnswer | undefined {
  return failureSchema.safeParse(body).data;
}

/** Turns an answer that is not 200 into an error. */
export function toAnswerError(place: string, answer: {
  readonly status: number;
  readonly body: unknown;
}): KelpsparError {
  const failure = readFailure(answer.body);
  if (failure !== undefined) {
    return new KelpsparError(failure.result, failure.message);
  }
  return new KelpsparError(
    "peer_unavailable",
    `What answers at "${place}" is not a daemon: status ${answer.status}`,
  );
}
