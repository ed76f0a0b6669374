/** Why an exchange with a daemon gave no answer. */
export class ExchangeFailure extends Error {
  /** True only with proof that no byte of the exchange reached the daemon. */
  readonly nothingArrived: boolean;

  constructor(message: string, options: {
    readonly nothingArrived: boolean;
    readonly cause?: unknown;
  }) {
    super(message, { cause: options.cause });
    this.nothingArrived = options.nothingArrived;
  }
}
