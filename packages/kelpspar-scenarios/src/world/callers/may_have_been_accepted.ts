import type { Submission } from "./submission.ts";

/** False once every earlier attempt was refused as not run. */
export function mayHaveBeenAccepted(submission: Submission): boolean {
  return submission.attempts.some(({ ending }) => {
    if (ending?.type === "refused" || ending?.type === "answered") {
      return ending.record.type === "failure" &&
        ending.record.outcome !== "not_run";
    }
    return true;
  });
}
