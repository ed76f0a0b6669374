/** Options of `callerHeaders`. */
export interface CallerHeadersOptions {
  readonly attemptId: string;
  readonly deadlineMilliseconds: number;
}

/** Headers of a caller's request, besides `Host` and those of its body. */
export function callerHeaders(
  { attemptId, deadlineMilliseconds }: CallerHeadersOptions,
): Readonly<Record<string, string>> {
  return {
    "X-Attempt-Id": attemptId,
    "X-Deadline-Ms": String(deadlineMilliseconds),
    "X-Api-Key": "key-1",
  };
}
