/** An exchange with a daemon that failed without a whole answer. */
export class ExchangeFailure extends Error {
  /** True only if it is proven that no byte reached the daemon. */
  readonly nothingArrived: boolean;

  constructor(message: string, options: {
    readonly nothingArrived: boolean;
    readonly cause?: unknown;
  }) {
    super(message, { cause: options.cause });
    this.nothingArrived = options.nothingArrived;
  }
}
