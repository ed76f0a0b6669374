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
export interface SeenRequest {
  readonly method: string;
  readonly path: string;
  readonly body: Readonly<Record<string, unknown>>;
}

/** What a fake daemon does with a request. */
export type FakeAnswer = (response: ServerResponse) => void;

/** A scripted daemon on an ephemeral port. */
export class FakeDaemon {
  readonly seen: SeenRequest[] = [];
  readonly #server: Server;
  /** Answers by `METHOD first part`, such as `POST /v1/requests`, in turn. */
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

  /** Names the daemons that this one's directory lists. */
  lists(daemons: readonly DaemonAddress[]): void {
    this.#daemons = () => daemons;
  }

  on(call: string, ...answers: FakeAnswer[]): void {
    this.script.set(call, [...(this.script.get(call) ?? []), ...answers]);
  }

  count(method: string): number {
    return this.seen.filter((request) => request.method === method).length;
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
    this.seen.push({ method, path, body: text === "" ? {} : JSON.parse(text) });
    const answers = this.script.get(`${method} ${path.split("?")[0]}`) ??
      this.script.get(method) ?? [];
    const answer = answers.length > 1 ? answers.shift() : answers[0];
    (answer ?? refuse("request_not_found"))(response);
  }
}

/** Refuses an exchange with a result code. */
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

/** Streams records and ends in good order. */
export function stream(...records: readonly AnswerRecord[]): FakeAnswer {
  return (response) => {
    response.writeHead(200);
    response.end(
      records.map((record) => JSON.stringify(record) + "\n").join(""),
    );
  };
}

/** Streams records, then says nothing more and never ends. */
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

/** Breaks the connection without an answer. */
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
