import { buildConnector } from "undici";

/**
 * Opens connections and tracks which errors came from opening one. Error codes
 * are not sufficient: an established connection can end with EHOSTUNREACH after
 * its request was sent, and treating that as a refused connection would let a
 * request run twice. Only an error from opening the connection itself proves
 * that nothing was sent.
 */
export class TrackingConnector {
  readonly #open: buildConnector.connector;
  readonly #openErrors = new WeakSet<Error>();
  #openedCount = 0;

  constructor(options: { readonly timeoutMilliseconds: number }) {
    this.#open = buildConnector({ timeout: options.timeoutMilliseconds });
  }

  /** The number of connections opened. */
  get openedCount(): number {
    return this.#openedCount;
  }

  /** The connector function that undici calls. */
  readonly connect: buildConnector.connector = (options, callback) => {
    this.#open(options, (...outcome) => {
      if (outcome[0] === null) this.#openedCount++;
      else this.#openErrors.add(outcome[0]);
      callback(...outcome);
    });
  };

  /** True if `cause` came from opening a connection. */
  failedToOpen(cause: unknown): boolean {
    return cause instanceof Error && this.#openErrors.has(cause);
  }
}
