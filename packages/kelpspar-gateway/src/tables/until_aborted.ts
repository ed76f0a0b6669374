/** A wait was aborted because its result is no longer needed. */
export class InterruptedError extends Error {
  constructor() {
    super("The wait was interrupted");
    this.name = "InterruptedError";
  }
}

/**
 * Waits for `promise` until `signal` aborts; then rejects with
 * `InterruptedError`. A later outcome of the promise is ignored.
 */
export function untilAborted<Value>(
  promise: Promise<Value>,
  signal: AbortSignal,
): Promise<Value> {
  return new Promise((resolve, reject) => {
    const stop = (): void => reject(new InterruptedError());
    if (signal.aborted) stop();
    signal.addEventListener("abort", stop, { once: true });
    promise.then(resolve, reject).finally(() =>
      signal.removeEventListener("abort", stop)
    );
  });
}
