import type { CallerBudget, CallerHolding } from "kelpspar-http";
import type { ServerResponse } from "node:http";
import type { DaemonAnswer, RequestReply } from "../requests/request_reply.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/** Larger answers are written in parts, which show how fast they are read. */
const PART_BYTES = 256 * 1024;

/** Options of an `HttpReply`. */
export interface HttpReplyOptions {
  /** Whether the connection is closed after the answer. */
  readonly mustClose: () => boolean;
  /** Bounds the answers that wait for their readers. */
  readonly budget: CallerBudget;
}

/** Answers one request over HTTP. */
export class HttpReply implements RequestReply {
  readonly #response: ServerResponse;
  readonly #options: HttpReplyOptions;
  readonly #gone = new AbortController();
  readonly sent: Promise<boolean>;

  constructor(response: ServerResponse, options: HttpReplyOptions) {
    this.#response = response;
    this.#options = options;
    response.on("error", () => this.#gone.abort());
    this.sent = new Promise((resolve) => {
      response.on("close", () => {
        if (!response.writableFinished) this.#gone.abort();
        resolve(response.writableFinished);
      });
    });
  }

  get disconnectSignal(): AbortSignal {
    return this.#gone.signal;
  }

  refuse(answer: DaemonAnswer): void {
    const body = Buffer.from(JSON.stringify({ message: answer.message }));
    const headers = ["Content-Type", "application/json"];
    if (answer.retryAfterMilliseconds !== undefined) {
      const seconds = answer.retryAfterMilliseconds / MILLISECONDS_PER_SECOND;
      headers.push("Retry-After", seconds.toFixed(3));
    }
    this.answer(answer.status, headers, body);
  }

  answer(status: number, headers: readonly string[], body: Uint8Array): void {
    if (!this.#canAnswer()) return;
    const length = ["Content-Length", String(body.length)];
    const kept = withoutContentLength(headers);
    this.#response.writeHead(status, this.#head([...kept, ...length]));
    if (body.length > PART_BYTES) {
      void this.#writeParts(body);
      return;
    }
    this.#response.end(body);
    const { socket } = this.#response;
    if (socket === null || socket.writableLength > 0) {
      this.#holdUntilClosed(body.length);
    }
  }

  begin(status: number, headers: readonly string[]): void {
    if (!this.#canAnswer()) return;
    this.#response.writeHead(status, this.#head(withoutContentLength(headers)));
  }

  async write(chunk: Uint8Array): Promise<void> {
    const response = this.#response;
    if (response.destroyed || response.write(chunk)) return;
    const holding = this.#hold(response.writableLength);
    await this.#drained();
    holding.end();
  }

  end(): void {
    if (!this.#response.destroyed) this.#response.end();
  }

  abort(): void {
    const { chunkedEncoding, headersSent, socket } = this.#response;
    // Without chunks, as for callers that speak HTTP/1.0, a regular end of the
    // connection would complete the answer.
    if (headersSent && !chunkedEncoding) socket?.resetAndDestroy();
    this.#response.destroy();
  }

  async #writeParts(body: Uint8Array): Promise<void> {
    const response = this.#response;
    const holding = this.#holdUntilClosed(body.length);
    for (let start = 0; start < body.length; start += PART_BYTES) {
      const part = body.subarray(start, start + PART_BYTES);
      if (!response.destroyed && !response.write(part)) await this.#drained();
      if (response.destroyed) return;
      holding.progress(part.length);
    }
    response.end();
  }

  /** Resolves when more may be written, or never will be. */
  #drained(): Promise<void> {
    const response = this.#response;
    return new Promise((resolve) => {
      const done = (): void => {
        response.off("drain", done);
        stopWaiting();
        resolve();
      };
      response.on("drain", done);
      const stopWaiting = this.#onceClosed(done);
    });
  }

  /** Counts bytes until the connection has taken the answer or was closed. */
  #holdUntilClosed(bytes: number): CallerHolding {
    const holding = this.#hold(bytes);
    this.#onceClosed(() => holding.end());
    return holding;
  }

  /** Calls `listener` once when the answer ends; returns the teardown. */
  #onceClosed(listener: () => void): () => void {
    const response = this.#response;
    const { socket } = response.req;
    const stopWaiting = (): void => {
      response.off("close", onClose);
      socket.off("close", onClose);
    };
    const onClose = (): void => {
      stopWaiting();
      listener();
    };
    response.on("close", onClose);
    // A response that waits for an earlier one emits nothing.
    socket.on("close", onClose);
    return stopWaiting;
  }

  #hold(bytes: number): CallerHolding {
    // A response that waits for an earlier one has no socket of its own yet.
    const { socket } = this.#response.req;
    const holding = this.#options.budget.open({
      state: "unread",
      address: socket.remoteAddress,
      cut: () => {
        // An answer that is only closed could look complete.
        socket.resetAndDestroy();
        this.#response.destroy();
      },
    });
    holding.set(bytes);
    return holding;
  }

  #canAnswer(): boolean {
    return !this.#response.destroyed && !this.#response.headersSent;
  }

  #head(headers: readonly string[]): string[] {
    return this.#options.mustClose()
      ? [...headers, "Connection", "close"]
      : [...headers];
  }
}

function withoutContentLength(headers: readonly string[]): readonly string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] as string;
    if (name.toLowerCase() === "content-length") continue;
    kept.push(name, headers[index + 1] as string);
  }
  return kept;
}
