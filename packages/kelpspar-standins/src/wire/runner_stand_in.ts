import type {
  IncomingHttpHeaders,
  IncomingMessage,
  Server,
  ServerResponse,
} from "node:http";
import type { AnswerPlan } from "./answer_plan.ts";
import type { BrittleCapacity } from "./brittle_capacity.ts";
import type { EndlessBytes } from "./endless_bytes.ts";
import { createTextServer } from "./create_text_server.ts";
import { sendEndlessBytes } from "./endless_bytes.ts";
import { listenOnLoopback } from "./listen_on_loopback.ts";
import { readAnswerPlan } from "./answer_plan.ts";
import { AdvertisedLimit } from "./advertised_limit.ts";

/** How a runner handles requests while a fault is set. */
export type RunnerFault =
  | "none"
  /** Refuses each request with 503 as overloaded. */
  | "full"
  /** Runs the request, then closes the connection without a response. */
  | "answer_lost"
  /** Closes the connection in the middle of the response. */
  | "cut"
  /** Cuts streams in this way unless they resume another. */
  | "cut_new"
  /** Ends a stream regularly in the middle of an event. */
  | "ended_midway"
  /** Accepts requests and never responds. */
  | "mute"
  /** Responds with another request's attempt id. */
  | "foreign"
  /** Sends a second response after the first. */
  | "extra"
  /** Responds without a content length and resets the connection midway. */
  | "unframed_reset"
  /** Responds with status 500. */
  | "failing"
  /** Refuses each request with 409, as if its inputs were gone. */
  | "inputs_gone"
  /** Sends `endlessBytes` until the connection is closed. */
  | "endless"
  /** Sends a whole answer with `oddStatus`. */
  | "odd_status";

/** How a runner marks the end of its streams. */
export type StreamFraming = "chunked" | "close_delimited";

/** Line end of a `text/event-stream`. */
export type StreamLineEnd = "\n" | "\r\n" | "\r";

/** How a part of a prompt crashes a runner. */
export interface PartCrashPlan {
  /** Time from the first event to the crash; with none, there is no event. */
  readonly afterFirstEvent?: () => number;
  /** Time from the arrival to the crash, if no head of an answer is sent. */
  readonly beforeHead?: () => number;
  /** Whether all answers stop from the first event until the crash. */
  readonly isSilent?: boolean;
  /** Called when the first event was written, with the request's attempt id. */
  readonly onFirstEvent?: (attemptId: string) => void;
}

/** A request that a runner executed. */
export interface RunnerRun {
  readonly attemptId: string;
  /** Id of the runner at that time. */
  readonly runnerId: string;
  /** Arrival time, monotonic milliseconds. */
  readonly at: number;
  /** Path and query. */
  readonly target: string;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
  readonly lastEventId: string | undefined;
  /** When its first event was written; undefined until then. */
  firstEventAt?: number;
  /** When its response ended or was cut; undefined until then. */
  endedAt?: number;
  /** Whether the whole response was sent. */
  isFinished?: boolean;
}

/** A send that reached a runner, whether or not the runner executed it. */
export interface RunnerArrival {
  /** Identical for all sends of the same request or piece. */
  readonly key: string;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/** How a runner responds. */
export interface RunnerStandInOptions {
  readonly id: string;
  readonly isStream: boolean;
  /** Number of events in a complete stream; default 5. */
  readonly events?: number;
  /** Delay before the response and each event, milliseconds; default 5. */
  readonly delayMilliseconds?: number;
  /** Version of its software, which its events contain; default none. */
  readonly version?: string | undefined;
  /** Whether events contain the runner's id, before their middle and after. */
  readonly hasSignedEvents?: boolean;
}

/** What a runner that falls silent does with its requests. */
export interface SilenceOptions {
  /** Which requests it sends nothing for; default all. */
  readonly requests?: "all" | "begun";
  /** Whether streams fall silent in the middle of an event. */
  readonly isInsideEvents?: boolean;
}

/** A time in which a runner sends nothing, monotonic milliseconds. */
interface Silence extends SilenceOptions {
  readonly from: number;
  readonly until: number;
}

/** One response in progress. */
interface AnswerOptions {
  readonly run: RunnerRun;
  readonly response: ServerResponse;
  readonly plan: AnswerPlan;
}

interface StreamOptions extends AnswerOptions {
  readonly fault: RunnerFault;
}

const NO_SILENCE: Silence = { from: 0, until: 0 };
const DEFAULT_DELAY_MILLISECONDS = 5;
/** Version in the entries of runners whose events contain none. */
const DEFAULT_VERSION = "v1";

/** A request whose path ends with this crashes the runner that starts it. */
export const CRASHING_PATH_SUFFIX = "/crash";

/** Whether a request that a runner ran has a part of the prompt with this id. */
export function hasPromptPart(
  { headers }: Pick<RunnerRun, "headers">,
  id: string,
): boolean {
  return String(headers["x-prompt-prefix"] ?? "").split(",")
    .some((part) => part.split(":")[0] === id);
}

/** A stand-in for a request runner; speaks the published protocol. */
export class RunnerStandIn {
  fault: RunnerFault = "none";
  /** Draws the fault of each request; replaces `fault` while set. */
  drawFault: (() => RunnerFault) | undefined;
  endlessBytes: EndlessBytes = { start: "", repeated: "x" };
  /** Status of the answers while its fault is `odd_status`. */
  oddStatus = "000";
  /** Requests that arrived, refused or not, and for whichever id. */
  readonly arrivals: RunnerArrival[] = [];
  streamFraming: StreamFraming = "chunked";
  streamLineEnd: StreamLineEnd = "\n";
  /** Whether all responses carry `Server-Leaving`. */
  isLeaving = false;
  readonly limit = new AdvertisedLimit();
  /** `X-Server-Load` value of all responses; undefined for no header. */
  load: string | undefined;
  /** Factor on its delays. */
  slowdown = 1;
  /** `Retry-After` value of 503 responses; undefined for no header. */
  retryAfter: string | undefined;
  /** Set while the runner is brittle. */
  brittle: BrittleCapacity | undefined;
  /** Set if only so many requests run at the same time; not advertised. */
  capacity: BrittleCapacity | undefined;
  /** Ids of prompt parts that crash the runner once it answers on them. */
  crashingParts: ReadonlySet<string> = new Set();
  partCrashPlan: PartCrashPlan = {};
  /** Number of requests refused as overloaded. */
  refusals = 0;
  readonly runs: RunnerRun[] = [];
  /** When the runner crashed, monotonic milliseconds. */
  readonly crashTimes: number[] = [];
  readonly #options: RunnerStandInOptions;
  readonly #server: Server;
  #silence = NO_SILENCE;
  #address: string | undefined;
  #incarnation = 1;
  /** Called when a request crashes the runner. */
  onCrash = (): void => {};

  constructor(options: RunnerStandInOptions) {
    this.#options = options;
    this.#server = createTextServer((message, text, response) =>
      this.#handle(message, text, response)
    );
  }

  /** Changes with each restart. */
  get id(): string {
    const { id } = this.#options;
    return this.#incarnation === 1 ? id : `${id}-life-${this.#incarnation}`;
  }

  /** Version of its software. */
  get version(): string {
    return this.#options.version ?? DEFAULT_VERSION;
  }

  /** Listens on loopback; resolves to `address:port`. */
  async start(): Promise<string> {
    this.#address = await listenOnLoopback(this.#server);
    return this.#address;
  }

  /** Closes all connections and refuses new ones until `restart`. */
  crash(): void {
    this.crashTimes.push(performance.now());
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Accepts connections again after a crash, as the same incarnation. */
  resume(): void {
    const port = Number(this.#address?.split(":")[1]);
    if (!this.#server.listening) this.#server.listen(port, "127.0.0.1");
  }

  /** Restarts after a crash, on the same port and under a new id. */
  restart(): void {
    this.#incarnation++;
    this.#silence = NO_SILENCE;
    this.limit.text = undefined;
    const port = Number(this.#address?.split(":")[1]);
    this.#server.listen(port, "127.0.0.1");
  }

  /** Is another runner from now on: under a new id, without connections. */
  replace(): void {
    this.#incarnation++;
    this.#server.closeAllConnections();
  }

  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /**
   * Sends nothing for this time, then goes on with all requests. A request that
   * arrives meanwhile gets not even a head until then, unless only those that
   * had begun are silent; one for another id is refused at once.
   */
  fallSilent(milliseconds: number, options: SilenceOptions = {}): void {
    const from = performance.now();
    this.#silence = { ...options, from, until: from + milliseconds };
  }

  #handle(
    message: IncomingMessage,
    body: string,
    response: ServerResponse,
  ): void {
    const attemptId = String(message.headers["x-attempt-id"]);
    if (message.headers["x-expect-instance"] !== this.id) {
      // Probes have no attempt id.
      if (message.headers["x-attempt-id"] !== undefined) {
        this.#recordArrival(attemptId);
      }
      response.writeHead(421).end();
      return;
    }
    this.limit.recordArrival();
    this.#recordArrival(attemptId);
    const fault = this.drawFault?.() ?? this.fault;
    if (fault === "full" || this.brittle?.tryAccept() === false) {
      this.refusals++;
      const headers = {
        "X-Not-Executed": "1",
        ...this.#noticeHeaders(),
        ...(this.retryAfter === undefined
          ? {}
          : { "Retry-After": this.retryAfter }),
      };
      response.writeHead(503, headers).end();
      return;
    }
    if (fault === "inputs_gone") {
      response.writeHead(409, { "X-Not-Executed": "1" }).end();
      return;
    }
    const lastEventId = message.headers["last-event-id"] as string | undefined;
    const { headers, url: target = "" } = message;
    const at = performance.now();
    const run: RunnerRun = {
      attemptId,
      runnerId: this.id,
      at,
      target,
      headers,
      body,
      lastEventId,
    };
    this.runs.push(run);
    response.on("close", () => {
      run.endedAt = performance.now();
      run.isFinished = response.writableFinished;
    });
    const plan = readAnswerPlan(target, this.#options);
    const handlers: Readonly<Record<string, () => void>> = {
      answer_lost: () => response.destroy(),
      mute: () => {},
      endless: () => this.#sendEndless(attemptId, response),
      odd_status: () => this.#sendOddStatus(attemptId, response),
      unframed_reset: () => this.#resetMidway(attemptId, response),
      failing: () => {
        response.writeHead(500, this.#responseHeaders(attemptId)).end("failed");
      },
    };
    const handler = handlers[fault];
    if (
      target.endsWith(CRASHING_PATH_SUFFIX) || this.#hasCrashingPart(headers)
    ) {
      void this.#crashMidway(attemptId, response);
    } else if (handler !== undefined) handler();
    else if (this.#options.isStream) {
      void this.#stream({ run, fault, response, plan });
    } else void this.#answer({ run, response, plan });
  }

  #recordArrival(key: string): void {
    this.arrivals.push({ key, at: performance.now() });
  }

  #hasCrashingPart(headers: IncomingHttpHeaders): boolean {
    return [...this.crashingParts].some((id) => hasPromptPart({ headers }, id));
  }

  async #crashMidway(
    attemptId: string,
    response: ServerResponse,
  ): Promise<void> {
    const { beforeHead } = this.partCrashPlan;
    if (beforeHead !== undefined) {
      await this.#wait(beforeHead());
      // Another request that crashes the runner may have been faster.
      if (this.#server.listening && !response.destroyed) this.onCrash();
      return;
    }
    if (this.#options.isStream) {
      response.writeHead(200, this.#responseHeaders(attemptId)).flushHeaders();
    }
    if (this.partCrashPlan.afterFirstEvent === undefined) {
      await this.#delay(this.#options.delayMilliseconds);
    }
    await this.#writeUntilCrash(attemptId, response);
    // Another request that crashes the runner may have been faster.
    if (this.#server.listening && !this.#isOver(response)) this.onCrash();
  }

  /** Whether an earlier crash ended the runner's incarnation and the answer. */
  #isOver(response: ServerResponse): boolean {
    return this.partCrashPlan.afterFirstEvent !== undefined &&
      response.destroyed;
  }

  /** Writes events until the plan's crash is due. */
  async #writeUntilCrash(
    attemptId: string,
    response: ServerResponse,
  ): Promise<void> {
    const { afterFirstEvent, isSilent, onFirstEvent } = this.partCrashPlan;
    if (afterFirstEvent === undefined) return;
    const write = (id: number): boolean =>
      response.write(`id: ${id}\ndata: ${attemptId} ${id}\n\n`);
    write(1);
    onFirstEvent?.(attemptId);
    const after = afterFirstEvent();
    const crashAt = performance.now() + after;
    if (isSilent === true) {
      this.fallSilent(after);
      await this.#delay(0);
      return;
    }
    for (let id = 2; performance.now() < crashAt; id++) {
      const rest = crashAt - performance.now();
      await this.#delay(
        Math.min(rest, this.#options.delayMilliseconds ?? rest),
      );
      if (response.destroyed) return;
      if (performance.now() < crashAt) write(id);
    }
  }

  #sendEndless(attemptId: string, response: ServerResponse): void {
    const { socket } = response;
    if (socket === null) return;
    sendEndlessBytes(socket, this.endlessBytes, this.#headerLines(attemptId));
  }

  #sendOddStatus(attemptId: string, response: ServerResponse): void {
    const body = `id: 1\ndata: ${attemptId} 1\n\n`;
    const head = this.#headerLines(attemptId)
      .map((line) => `${line}\r\n`).join("");
    response.socket?.end(
      `HTTP/1.1 ${this.oddStatus} Odd\r\n${head}` +
        `Content-Length: ${body.length}\r\n\r\n${body}`,
    );
  }

  #resetMidway(attemptId: string, response: ServerResponse): void {
    const { socket } = response;
    const head = this.#headerLines(attemptId)
      .map((line) => `${line}\r\n`).join("");
    socket?.write(`HTTP/1.1 200 OK\r\n${head}\r\npart of`, () => {
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
  }

  #headerLines(attemptId: string): readonly string[] {
    return Object.entries(this.#responseHeaders(attemptId))
      .map(([name, value]) => `${name}: ${value}`);
  }

  #responseHeaders(attemptId: string): Record<string, string> {
    return {
      "X-Attempt-Id": this.fault === "foreign" ? "of-another" : attemptId,
      "X-Server-Seal": `seal-${this.id}`,
      ...this.#noticeHeaders(),
    };
  }

  #noticeHeaders(): Record<string, string> {
    return {
      ...(this.isLeaving ? { "Server-Leaving": "1" } : {}),
      ...(this.brittle === undefined
        ? {}
        : { "Server-Brittle": this.brittle.headerValue }),
      ...(this.load === undefined ? {} : { "X-Server-Load": this.load }),
      ...(this.limit.text === undefined
        ? {}
        : { "Server-Limit": this.limit.text }),
    };
  }

  async #answer({ run, response, plan }: AnswerOptions): Promise<void> {
    const { attemptId } = run;
    const capacity = this.brittle ?? this.capacity;
    await capacity?.acquire();
    const startedAt = performance.now();
    await this.#delay(plan.delayMilliseconds, run);
    capacity?.release(performance.now() - startedAt);
    const text = `answer to ${attemptId}`.padEnd(plan.bytes ?? 0, ".");
    const length = { "Content-Length": String(text.length) };
    response.writeHead(200, { ...this.#responseHeaders(attemptId), ...length });
    if (this.fault === "cut") {
      response.write(text.slice(0, 4), () => response.destroy());
      return;
    }
    response.end(text);
    if (this.fault === "extra") {
      response.socket?.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
  }

  async #stream(options: StreamOptions): Promise<void> {
    const capacity = this.brittle ?? this.capacity;
    await capacity?.acquire();
    const startedAt = performance.now();
    await this.#sendEvents(options);
    capacity?.release(performance.now() - startedAt);
  }

  async #sendEvents(
    { run, fault, response, plan }: StreamOptions,
  ): Promise<void> {
    const { attemptId, lastEventId } = run;
    const { version, hasSignedEvents = false } = this.#options;
    const { events, delayMilliseconds, bytes } = plan;
    const signature = hasSignedEvents ? ` ${run.runnerId}` : "";
    const mark = `${version === undefined ? "" : ` ${version}`}${signature}`;
    response.useChunkedEncodingByDefault = this.streamFraming === "chunked";
    response.writeHead(200, {
      ...this.#responseHeaders(attemptId),
      "Content-Type": "text/event-stream",
    });
    for (let id = Number(lastEventId ?? 0) + 1; id <= events; id++) {
      await this.#delay(delayMilliseconds, run);
      if (response.destroyed) return;
      const data = `data: ${attemptId} ${id}${mark}`.padEnd(bytes ?? 0, ".");
      const start = [`id: ${id}`, data].join(this.streamLineEnd);
      const end = [signature, "", ""].join(this.streamLineEnd);
      const event = `${start}${end}`;
      run.firstEventAt ??= performance.now();
      // A fault that was set may end during the stream; one that was drawn stays.
      const current = this.drawFault === undefined ? this.fault : fault;
      const isCut = current === "cut" ||
        (current === "cut_new" && lastEventId === undefined);
      if (isCut && id > events / 2) {
        response.write(event.slice(0, 6), () => response.destroy());
        return;
      }
      if (current === "ended_midway" && id > events / 2) {
        response.end(event.slice(0, 6));
        return;
      }
      if (this.#silence.isInsideEvents === true && this.#silenceOf(run) > 0) {
        response.write(start);
        await this.#delay(0, run);
        if (response.destroyed) return;
        response.write(end);
      } else response.write(event);
    }
    response.end();
  }

  /** How long a request still gets nothing, milliseconds. */
  #silenceOf(run: RunnerRun | undefined): number {
    const { from, until, requests = "all" } = this.#silence;
    const isExempt = requests === "begun" && (run?.at ?? 0) > from;
    return isExempt ? 0 : Math.max(0, until - performance.now());
  }

  /** Waits before the next part of an answer. */
  #delay(
    delayMilliseconds: number | undefined,
    run?: RunnerRun,
  ): Promise<void> {
    const silence = this.#silenceOf(run);
    const delay = delayMilliseconds ?? DEFAULT_DELAY_MILLISECONDS;
    return this.#wait(silence + delay * this.slowdown);
  }

  #wait(milliseconds: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, milliseconds));
  }
}
