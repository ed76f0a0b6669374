/** A wait that was ended since what it waited for isn't wanted any more. */
export class InterruptedError extends Error {
  constructor() {
    super("The wait was interrupted");
    this.name = "InterruptedError";
  }
}

/**
 * Waits for `promise` until `signal`; rejects with `InterruptedError` then.
 * What the promise comes to later counts for nothing.
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
