import type { Socket } from "node:net";
import { connect } from "node:net";
import { setImmediate as setImmediatePromise } from "node:timers/promises";

/** Enough for the heads of an interim and of a final answer. */
const MAXIMUM_TEXT_LENGTH = 4_096;
const ANSWER_HEAD = /HTTP\/1\.1 ([2-5]\d\d) [^]*?\r\n\r\n/;
const RETRY_AFTER = /^retry-after: *\d/im;

/** The head of a final answer. */
export interface RawAnswer {
  readonly status: number;
  readonly hasRetryAfter: boolean;
}

/** Options of a `RawConnection`. */
export interface RawConnectionOptions {
  /** `address:port`. */
  readonly address: string;
  /** Whether what arrives is read; default true. */
  readonly isRead?: boolean;
}

/** A TCP connection whose caller writes any bytes. */
export class RawConnection {
  /** Resolves when the connection is established or has failed. */
  readonly connected: Promise<void>;
  readonly #socket: Socket;
  readonly #changed = new Set<() => void>();
  #text = "";

  constructor({ address, isRead = true }: RawConnectionOptions) {
    const [host = "", port = ""] = address.split(":");
    this.#socket = connect({ host, port: Number(port) });
    this.connected = new Promise((resolve) => {
      this.#socket.once("connect", resolve);
      this.#socket.once("close", () => resolve());
    });
    // Resets and refusals are told by `isClosed`.
    this.#socket.on("error", () => {});
    for (const event of ["drain", "close"]) {
      this.#socket.on(event, () => this.#notify());
    }
    if (!isRead) {
      this.#socket.pause();
      return;
    }
    this.#socket.on("data", (bytes: Buffer) => {
      if (this.#text.length >= MAXIMUM_TEXT_LENGTH) return;
      this.#text += bytes.toString("latin1", 0, MAXIMUM_TEXT_LENGTH);
      this.#notify();
    });
  }

  get isClosed(): boolean {
    return this.#socket.destroyed;
  }

  /** The first final answer; undefined until its head has arrived. */
  get answer(): RawAnswer | undefined {
    const [head, status] = ANSWER_HEAD.exec(this.#text) ?? [];
    if (head === undefined) return undefined;
    return { status: Number(status), hasRetryAfter: RETRY_AFTER.test(head) };
  }

  /** Whether an interim or a final answer has begun. */
  get hasBytes(): boolean {
    return this.#text.length > 0;
  }

  /** Writes bytes; resolves when more can be written, or the connection ended. */
  async write(bytes: Uint8Array | string): Promise<void> {
    if (this.isClosed || this.#socket.write(bytes)) return;
    await this.waitUntil(() => !this.#socket.writableNeedDrain);
    // Writes that the system takes at once would let nothing else run.
    await setImmediatePromise();
  }

  /** Waits until `isMet` returns true, the connection ends or time is over. */
  async waitUntil(
    isMet: () => boolean,
    milliseconds?: number,
  ): Promise<void> {
    if (isMet() || this.isClosed) return;
    await new Promise<void>((resolve) => {
      const end = (): void => {
        clearTimeout(timeout);
        this.#changed.delete(check);
        resolve();
      };
      const check = (): void => {
        if (isMet() || this.isClosed) end();
      };
      const timeout = milliseconds === undefined
        ? undefined
        : setTimeout(end, milliseconds);
      this.#changed.add(check);
    });
  }

  onClose(listener: () => void): void {
    this.#socket.once("close", listener);
  }

  /** Closes the connection at once, by a reset. */
  reset(): void {
    this.#socket.resetAndDestroy();
  }

  close(): void {
    this.#socket.destroy();
  }

  #notify(): void {
    for (const check of [...this.#changed]) check();
  }
}
