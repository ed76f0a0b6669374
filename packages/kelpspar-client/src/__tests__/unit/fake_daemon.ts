import type {
  AnswerRecord,
  DaemonAddress,
  FailureRecord,
  ResultName,
} from "kelpspar-shared";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { createServer } from "node:http";
import {
  extendChecksum,
  formatChecksum,
  KelpsparError,
  RESULT_CODES,
  toFailureRecord,
} from "kelpspar-shared";

/** A request that a fake daemon received. */
export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Writes a fake daemon's response to a request. */
export type FakeAnswer = (response: ServerResponse) => void;

/** A daemon with scripted answers, on an ephemeral port. */
export class FakeDaemon {
  readonly received: ReceivedRequest[] = [];
  readonly #server: Server;
  /**
   * Answers by method and path without the query, such as `POST /v1/requests`,
   * or by method alone. They are given in order; the last one repeats.
   */
  readonly script = new Map<string, FakeAnswer[]>();
  #daemons: () => readonly DaemonAddress[] = () => [this.address];

  constructor(readonly name: string, readonly zone = "a") {
    this.#server = createServer((request, response) => {
      void this.#handle(request, response);
    });
  }

  async start(): Promise<this> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
    return this;
  }

  get place(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  get address(): DaemonAddress {
    return {
      address: "127.0.0.1",
      port: Number(this.place.split(":")[1]),
      availabilityZone: this.zone,
      incarnation: this.name,
      keyEpoch: 7,
      weight: 1,
    };
  }

  /** Sets the daemons that this daemon's directory lists. */
  setListedDaemons(daemons: readonly DaemonAddress[]): void {
    this.#daemons = () => daemons;
  }

  on(call: string, ...answers: FakeAnswer[]): void {
    this.script.set(call, [...(this.script.get(call) ?? []), ...answers]);
  }

  count(method: string): number {
    return this.received.filter((request) => request.method === method).length;
  }

  async stop(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    let text = "";
    for await (const chunk of request) text += String(chunk);
    const path = request.url ?? "";
    if (path === "/v1/addresses") {
      const answer = { daemons: this.#daemons(), keepMilliseconds: 5_000 };
      response.end(JSON.stringify(answer));
      return;
    }
    const method = request.method ?? "";
    this.received.push({
      method,
      path,
      body: text === "" ? {} : JSON.parse(text),
    });
    const answers = this.script.get(`${method} ${path.split("?")[0]}`) ??
      this.script.get(method) ?? [];
    const answer = answers.length > 1 ? answers.shift() : answers[0];
    (answer ?? refuse("request_not_found"))(response);
  }
}

/** Responds with the failure record of a result code. */
export function refuse(
  name: ResultName,
  options: {
    readonly retryAfterMilliseconds?: number;
    readonly elsewhere?: readonly string[];
  } = {},
): FakeAnswer {
  const { elsewhere, ...rest } = options;
  const error = new KelpsparError(name, `Refused: ${name}`, rest);
  const record = toFailureRecord(error, elsewhere ? { elsewhere } : {});
  return (response) => {
    response.writeHead(RESULT_CODES[name].httpStatus);
    response.end(JSON.stringify(record));
  };
}

/** Streams records, then closes the stream cleanly. */
export function stream(...records: readonly AnswerRecord[]): FakeAnswer {
  return (response) => {
    response.writeHead(200);
    response.end(
      records.map((record) => JSON.stringify(record) + "\n").join(""),
    );
  };
}

/** Streams records, then sends nothing more and never closes the stream. */
export function streamAndHang(
  onHang: () => void,
  ...records: readonly AnswerRecord[]
): FakeAnswer {
  return (response) => {
    response.writeHead(200);
    for (const record of records) response.write(JSON.stringify(record) + "\n");
    onHang();
  };
}

/** Closes the connection without an answer. */
export function breakOff(response: ServerResponse): void {
  response.destroy();
}

export function accepted(requestId: string): AnswerRecord {
  return { type: "accepted", requestId, daemon: "d" };
}

export function chunk(offset: number, text: string): AnswerRecord {
  return { type: "chunk", offset, text };
}

export function end(requestId: string, text: string): AnswerRecord {
  return {
    type: "end",
    requestId,
    length: text.length,
    checksum: formatChecksum(extendChecksum(0, text)),
    cost: [],
    elapsedMilliseconds: 3,
  };
}

export function failure(name: ResultName): FailureRecord {
  return toFailureRecord(new KelpsparError(name, `Failed: ${name}`));
}
