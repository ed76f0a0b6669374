import type { MalformedAnswer, MalformedAnswers } from "./malformed_answers.ts";
import { BodyLimitError } from "kelpspar-http";

/** Publishes an answer that was given up for its limits; ignores other errors. */
export function reportBodyLimit(
  malformedAnswers: Pick<MalformedAnswers, "publish">,
  error: unknown,
  { sender, hasFailedCall }: Omit<MalformedAnswer, "reason">,
): void {
  if (!(error instanceof BodyLimitError)) return;
  malformedAnswers.publish({ sender, reason: error.reason, hasFailedCall });
}
