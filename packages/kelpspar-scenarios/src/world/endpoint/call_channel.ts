import type { StageRecord } from "kelpspar-shared";

type ChannelEvent =
  | { readonly type: "record"; readonly record: StageRecord }
  | { readonly type: "closed" }
  | { readonly type: "broken" };

/**
 * The connection of one call: the endpoint's end writes records, the daemon's
 * end reads them after they travelled, in the order they were written.
 */
export class CallChannel {
  readonly #deliver: (arrive: () => void) => void;
  readonly #events: ChannelEvent[] = [];
  #wakeReader = (): void => {};
  #onDisconnect = (): void => {};
  #isDisconnected = false;

  /** `deliver` calls back when what is sent now has arrived, if it does. */
  constructor(deliver: (arrive: () => void) => void) {
    this.#deliver = deliver;
  }

  write(records: readonly StageRecord[]): void {
    this.#send(
      ...records.map((record) => ({ type: "record", record }) as const),
    );
  }

  /** Ends the stream in order. */
  close(): void {
    this.#send({ type: "closed" });
  }

  /** Breaks the connection off, as a dying endpoint does. */
  break(): void {
    this.#send({ type: "broken" });
  }

  /** Says what the endpoint does when the daemon's end goes away. */
  setDisconnectListener(listener: () => void): void {
    this.#onDisconnect = listener;
  }

  /** The daemon's end goes away; the endpoint notices a little later. */
  disconnect(): void {
    if (this.#isDisconnected) return;
    this.#isDisconnected = true;
    this.#deliver(() => this.#onDisconnect());
  }

  /** The next event that arrived. */
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
