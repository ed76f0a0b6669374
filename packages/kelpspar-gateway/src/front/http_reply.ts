import type { ServerResponse } from "node:http";
import type { DaemonAnswer, RequestReply } from "../requests/request_reply.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** Answers one request over HTTP. */
export class HttpReply implements RequestReply {
  readonly #response: ServerResponse;
  readonly #mustClose: () => boolean;
  readonly #gone = new AbortController();
  readonly sent: Promise<boolean>;

  constructor(response: ServerResponse, mustClose: () => boolean) {
    this.#response = response;
    this.#mustClose = mustClose;
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
    this.#response.end(body);
  }

  begin(status: number, headers: readonly string[]): void {
    if (!this.#canAnswer()) return;
    this.#response.writeHead(status, this.#head(withoutContentLength(headers)));
  }

  write(chunk: Uint8Array): Promise<void> {
    const response = this.#response;
    if (response.destroyed || response.write(chunk)) return Promise.resolve();
    return new Promise((resolve) => {
      const done = (): void => {
        response.off("drain", done);
        response.off("close", done);
        resolve();
      };
      response.on("drain", done);
      response.on("close", done);
    });
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

  #canAnswer(): boolean {
    return !this.#response.destroyed && !this.#response.headersSent;
  }

  #head(headers: readonly string[]): string[] {
    return this.#mustClose()
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
