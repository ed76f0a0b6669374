import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createTextServer } from "./create_text_server.ts";
import { listenOnLoopback } from "./listen_on_loopback.ts";
import { NamedLimit } from "./advertised_limit.ts";

/** What a runner does to requests while a fault is set. */
export type RunnerFault =
  | "none"
  /** Refuses as full. */
  | "full"
  /** Runs the request, then closes the connection without an answer. */
  | "answer_lost"
  /** Breaks the answer off midway. */
  | "cut"
  /** Takes requests and says nothing. */
  | "mute"
  /** Answers with another request's id. */
  | "foreign"
  /** Sends a second answer after the first. */
  | "extra"
  /** Answers without a length and resets the connection midway. */
  | "unframed_reset"
  /** Answers with a failure of its own. */
  | "failing";

/** One request that a runner ran. */
export interface RunnerRun {
  readonly attemptId: string;
  /** When it came, monotonic milliseconds. */
  readonly at: number;
  /** Path and query. */
  readonly target: string;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
  readonly lastEventId: string | undefined;
}

/** How a runner answers. */
export interface RunnerStandInOptions {
  readonly id: string;
  readonly isStream: boolean;
  /** Events of a whole stream. */
  readonly events?: number;
  /** Time before the answer and between events, milliseconds. */
  readonly paceMilliseconds?: number;
}

/** Requests to paths that end so crash the runner that begins to run them. */
export const CRASHING_PATH = "/crash";

/** A runner of requests at its published protocol. */
export class RunnerStandIn {
  fault: RunnerFault = "none";
  /** Says in all answers that it leaves. */
  isLeaving = false;
  readonly limit = new NamedLimit();
  /** What it adds when it refuses as full; undefined for nothing. */
  retryAfter: string | undefined;
  /** Requests that it refused as full. */
  refusals = 0;
  readonly runs: RunnerRun[] = [];
  readonly #options: RunnerStandInOptions;
  readonly #server: Server;
  #address: string | undefined;
  #lives = 1;
  /** Called when a request crashes the runner. */
  onCrash = (): void => {};

  constructor(options: RunnerStandInOptions) {
    this.#options = options;
    this.#server = createTextServer((message, text, response) =>
      this.#take(message, text, response)
    );
  }

  /** New with each life. */
  get id(): string {
    const { id } = this.#options;
    return this.#lives === 1 ? id : `${id}-life-${this.#lives}`;
  }

  /** Listens on loopback; gives `address:port`. */
  async start(): Promise<string> {
    this.#address = await listenOnLoopback(this.#server);
    return this.#address;
  }

  /** Cuts all connections and refuses new ones until it listens again. */
  crash(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Begins a new life under a new id, where it listened before a crash. */
  startAgain(): void {
    this.#lives++;
    this.limit.text = undefined;
    const port = Number(this.#address?.split(":")[1]);
    this.#server.listen(port, "127.0.0.1");
  }

  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #take(
    message: IncomingMessage,
    body: string,
    response: ServerResponse,
  ): void {
    const attemptId = String(message.headers["x-attempt-id"]);
    if (message.headers["x-expect-instance"] !== this.id) {
      response.writeHead(421).end();
      return;
    }
    this.limit.arrived();
    if (this.fault === "full") {
      this.refusals++;
      const headers = {
        "X-Not-Executed": "1",
        ...this.#notices(),
        ...(this.retryAfter === undefined
          ? {}
          : { "Retry-After": this.retryAfter }),
      };
      response.writeHead(503, headers).end();
      return;
    }
    const lastEventId = message.headers["last-event-id"] as string | undefined;
    const { headers, url: target = "" } = message;
    const at = performance.now();
    this.runs.push({ attemptId, at, target, headers, body, lastEventId });
    const handlers: Readonly<Record<string, () => void>> = {
      answer_lost: () => response.destroy(),
      mute: () => {},
      unframed_reset: () => this.#resetMidway(attemptId, response),
      failing: () => {
        response.writeHead(500, this.#head(attemptId)).end("failed");
      },
    };
    const handler = handlers[this.fault];
    if (target.endsWith(CRASHING_PATH)) {
      void this.#crashMidway(attemptId, response);
    } else if (handler !== undefined) handler();
    else if (this.#options.isStream) {
      void this.#stream(attemptId, lastEventId, response);
    } else void this.#answer(attemptId, response);
  }

  async #crashMidway(
    attemptId: string,
    response: ServerResponse,
  ): Promise<void> {
    if (this.#options.isStream) {
      response.writeHead(200, this.#head(attemptId)).flushHeaders();
    }
    await this.#pace();
    // Two requests that crash it may have begun together.
    if (this.#server.listening) this.onCrash();
  }

  #resetMidway(attemptId: string, response: ServerResponse): void {
    const { socket } = response;
    const head = Object.entries(this.#head(attemptId))
      .map(([name, value]) => `${name}: ${value}\r\n`).join("");
    socket?.write(`HTTP/1.1 200 OK\r\n${head}\r\npart of`, () => {
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
  }

  #head(attemptId: string): Record<string, string> {
    return {
      "X-Attempt-Id": this.fault === "foreign" ? "of-another" : attemptId,
      "X-Server-Seal": `seal-${this.id}`,
      ...this.#notices(),
    };
  }

  #notices(): Record<string, string> {
    return {
      ...(this.isLeaving ? { "Server-Leaving": "1" } : {}),
      ...(this.limit.text === undefined
        ? {}
        : { "Server-Limit": this.limit.text }),
    };
  }

  async #answer(attemptId: string, response: ServerResponse): Promise<void> {
    await this.#pace();
    const text = `answer to ${attemptId}`;
    const length = { "Content-Length": String(text.length) };
    response.writeHead(200, { ...this.#head(attemptId), ...length });
    if (this.fault === "cut") {
      response.write(text.slice(0, 4), () => response.destroy());
      return;
    }
    response.end(text);
    if (this.fault === "extra") {
      response.socket?.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
  }

  async #stream(
    attemptId: string,
    lastEventId: string | undefined,
    response: ServerResponse,
  ): Promise<void> {
    const { events = 5 } = this.#options;
    response.writeHead(200, {
      ...this.#head(attemptId),
      "Content-Type": "text/event-stream",
    });
    for (let id = Number(lastEventId ?? 0) + 1; id <= events; id++) {
      await this.#pace();
      if (response.destroyed) return;
      const event = `id: ${id}\ndata: ${attemptId} ${id}\n\n`;
      if (this.fault === "cut" && id > events / 2) {
        response.write(event.slice(0, 6), () => response.destroy());
        return;
      }
      response.write(event);
    }
    response.end();
  }

  #pace(): Promise<void> {
    const { paceMilliseconds = 5 } = this.#options;
    return new Promise((resolve) => setTimeout(resolve, paceMilliseconds));
  }
}
