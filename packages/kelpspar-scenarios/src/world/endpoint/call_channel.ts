import type { StageRecord } from "kelpspar-shared";

type ChannelEvent =
  | { readonly type: "record"; readonly record: StageRecord }
  | { readonly type: "closed" }
  | { readonly type: "broken" };

/**
 * The connection of one call: the endpoint writes records, and the daemon reads
 * them after the network delay, in the order they were written.
 */
export class CallChannel {
  readonly #deliver: (arrive: () => void) => void;
  readonly #events: ChannelEvent[] = [];
  #wakeReader = (): void => {};
  #onDisconnect = (): void => {};
  #isDisconnected = false;

  /** `deliver` calls `arrive` after the network delay, unless it is lost. */
  constructor(deliver: (arrive: () => void) => void) {
    this.#deliver = deliver;
  }

  write(records: readonly StageRecord[]): void {
    this.#send(
      ...records.map((record) => ({ type: "record", record }) as const),
    );
  }

  /** Ends the stream regularly. */
  close(): void {
    this.#send({ type: "closed" });
  }

  /** Aborts the connection, as when the endpoint dies. */
  break(): void {
    this.#send({ type: "broken" });
  }

  /** Sets the endpoint's listener for a disconnect of the daemon. */
  setDisconnectListener(listener: () => void): void {
    this.#onDisconnect = listener;
  }

  /** Disconnects the daemon; the endpoint is notified after the delay. */
  disconnect(): void {
    if (this.#isDisconnected) return;
    this.#isDisconnected = true;
    this.#deliver(() => this.#onDisconnect());
  }

  /** Resolves to the next event that arrives. */
  async next(): Promise<ChannelEvent> {
    for (;;) {
      const event = this.#events.shift();
      if (event !== undefined) return event;
      await new Promise<void>((resolve) => {
        this.#wakeReader = resolve;
      });
    }
  }

  #send(...events: readonly ChannelEvent[]): void {
    if (this.#isDisconnected) return;
    this.#deliver(() => {
      this.#events.push(...events);
      this.#wakeReader();
    });
  }
}
