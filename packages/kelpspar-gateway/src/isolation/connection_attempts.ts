/** Outcome of one attempt to connect to an endpoint. */
export interface ConnectionAttempt {
  readonly endpointId: string;
  readonly isConnected: boolean;
  /** When the attempt began, monotonic milliseconds. */
  readonly startedAt: number;
}

/** Called for each attempt. */
export type ConnectionAttemptListener = (attempt: ConnectionAttempt) => void;

/**
 * Event bus for the outcomes of all connection attempts to endpoints. Outcomes
 * are published when the connection opens or fails, not with the answer: an
 * answer on a connection that is still open doesn't show that new connections
 * are possible.
 */
export class ConnectionAttempts {
  readonly #listeners = new Set<ConnectionAttemptListener>();

  publish(attempt: ConnectionAttempt): void {
    for (const listener of this.#listeners) listener(attempt);
  }

  /** Returns what publishes the outcome of an attempt; monotonic milliseconds. */
  observe(
    endpointId: string,
    startedAt: number,
  ): (isConnected: boolean) => void {
    return (isConnected) =>
      this.publish({ endpointId, isConnected, startedAt });
  }

  registerListener(listener: ConnectionAttemptListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}
