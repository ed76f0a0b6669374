import type { Submission } from "./submission.ts";

/** False if every earlier attempt failed with outcome `not_run`. */
export function mayHaveBeenAccepted(submission: Submission): boolean {
  return submission.attempts.some(({ ending }) => {
    if (ending?.type === "refused" || ending?.type === "answered") {
      return ending.record.type === "failure" &&
        ending.record.outcome !== "not_run";
    }
    return true;
  });
}
