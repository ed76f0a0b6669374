import type { ResultName } from "kelpspar-shared";
import type { ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { createServer } from "node:http";
import { KelpsparError, RESULT_CODES, toFailureRecord } from "kelpspar-shared";

/** Writes a fake daemon's response to a call. */
export type FakeReply = (response: ServerResponse) => void;

/** The operator interface of a daemon with scripted replies. */
export class FakeOperatorDaemon {
  /** Received calls, as `METHOD path`. */
  readonly calls: string[] = [];
  readonly bodies: unknown[] = [];
  readonly keys = new Set<string | undefined>();
  readonly #replies = new Map<string, FakeReply[]>();
  readonly #server = createServer(async (request, response) => {
    let text = "";
    for await (const chunk of request) text += String(chunk);
    const call = `${request.method} ${request.url}`;
    this.calls.push(call);
    this.bodies.push(text === "" ? undefined : JSON.parse(text));
    this.keys.add(request.headers.authorization);
    const replies = this.#findReplies(call);
    const reply = replies.length > 1 ? replies.shift() : replies[0];
    (reply ?? refuse("unknown_path"))(response);
  });

  async start(): Promise<this> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
    return this;
  }

  get place(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /**
   * Sets the replies to a call, in order; the last one repeats. A call that
   * ends with a slash matches every call with that prefix.
   */
  on(call: string, ...replies: FakeReply[]): this {
    this.#replies.set(call, replies);
    return this;
  }

  count(call: string): number {
    return this.calls.filter((seen) => seen === call).length;
  }

  async stop(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  #findReplies(call: string): FakeReply[] {
    const exact = this.#replies.get(call);
    if (exact !== undefined) return exact;
    const prefix = [...this.#replies.keys()].find((known) =>
      known.endsWith("/") && call.startsWith(known)
    );
    return prefix === undefined ? [] : this.#replies.get(prefix) ?? [];
  }
}

/** Answers 200 with JSON. */
export function reply(body: unknown): FakeReply {
  return (response) => void response.end(JSON.stringify(body));
}

/** Responds with the failure record of a result code. */
export function refuse(name: ResultName, more: object = {}): FakeReply {
  const record = toFailureRecord(new KelpsparError(name, `Refused: ${name}`));
  return (response) => {
    response.writeHead(RESULT_CODES[name].httpStatus);
    response.end(JSON.stringify({ ...record, ...more }));
  };
}

/** Closes the connection without an answer. */
export function breakOff(response: ServerResponse): void {
  response.destroy();
}
