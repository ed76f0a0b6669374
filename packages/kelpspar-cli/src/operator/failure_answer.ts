import type { ResultName } from "kelpspar-shared";
import { KelpsparError, RESULT_CODES } from "kelpspar-shared";
import { z } from "zod";

const failureSchema = z.looseObject({
  result: z.custom<ResultName>((value) =>
    typeof value === "string" && Object.hasOwn(RESULT_CODES, value)
  ),
  message: z.string(),
});

/** The body of a daemon's refusal of an operator's command. */
export type FailureAnswer = z.infer<typeof failureSchema>;

/** Reads a refusal; returns undefined for any other body. */
export function readFailure(body: unknown): FailureAnswer | undefined {
  return failureSchema.safeParse(body).data;
}

/** Converts an answer with a status other than 200 to an error. */
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
    `The server at "${place}" is not a daemon: status ${answer.status}`,
  );
}
