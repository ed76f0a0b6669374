import { buildConnector } from "undici";

/**
 * Opens connections and remembers which errors came from opening one. What
 * goes wrong without it: error codes do not tell. An established connection
 * can end with EHOSTUNREACH after its request was sent, and taken for a
 * refusal that would let a request run twice. Only an error that opening
 * itself gave proves that nothing was sent.
 */
export class WatchedConnector {
  readonly #open: buildConnector.connector;
  readonly #openingErrors = new WeakSet<Error>();
  #opened = 0;

  constructor(options: { readonly timeoutMilliseconds: number }) {
    this.#open = buildConnector({ timeout: options.timeoutMilliseconds });
  }

  /** How many connections were opened. */
  get opened(): number {
    return this.#opened;
  }

  /** The function that undici calls. */
  readonly connect: buildConnector.connector = (options, callback) => {
    this.#open(options, (...outcome) => {
      if (outcome[0] === null) this.#opened++;
      else this.#openingErrors.add(outcome[0]);
      callback(...outcome);
    });
  };

  /** True when `cause` came from opening a connection. */
  failedToOpen(cause: unknown): boolean {
    return cause instanceof Error && this.#openingErrors.has(cause);
  }
}
