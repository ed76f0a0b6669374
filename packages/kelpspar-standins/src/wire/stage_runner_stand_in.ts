import type { Server, ServerResponse } from "node:http";
import { createTextServer } from "./create_text_server.ts";
import { listenOnLoopback } from "./listen_on_loopback.ts";
import type { RunnerArrival } from "./runner_stand_in.ts";
import { AdvertisedLimit } from "./advertised_limit.ts";

/** How a stage runner handles calls while a fault is set. */
export type StageFault =
  | "none"
  | "mute"
  | "slow"
  | "no_room"
  | "gone"
  /** Refuses each call with 503 as overloaded. */
  | "full"
  /** Closes the connection without a response. */
  | "closed"
  /** Answers each piece with an error. */
  | "failing";

interface StageEntry {
  readonly id: string;
  readonly stage: number;
  readonly piece: number;
  readonly key?: string;
  readonly inputs?: readonly string[];
}

/** Timing and capacity of a stage runner. */
export interface StageRunnerStandInOptions {
  readonly id: string;
  readonly callMilliseconds: number;
  readonly pieceMilliseconds: number;
  /** Number of results that its memory holds. */
  readonly room: number;
  readonly resultBytes: number;
}

const BYTES_PER_MEGABYTE = 1_000_000;
const RUN_PATH = "/-/stage-run";

/** Factor by which the `slow` fault lengthens each call. */
const SLOW_FACTOR = 6;

/** A stand-in for a stage runner; runs one call at a time. */
export class StageRunnerStandIn {
  fault: StageFault = "none";
  /** Factor on the time of its calls, besides that of `slow`. */
  slowdown = 1;
  /** Draws the fault of each call, or of each piece for `failing`. */
  drawFault: (() => StageFault) | undefined;
  /** Pieces of all calls, refused or not, and for whichever id. */
  readonly arrivals: RunnerArrival[] = [];
  /** Whether all responses carry `Server-Leaving`. */
  isLeaving = false;
  readonly limit = new AdvertisedLimit();
  /** `X-Server-Load` value of all responses; undefined for no header. */
  load: string | undefined;
  /** Refuses calls with this `Retry-After` value; undefined accepts calls. */
  retryAfter: string | undefined;
  /** Number of calls refused with `Retry-After`. */
  refusals = 0;
  /** Pieces of each call that was run. */
  readonly calls: (readonly StageEntry[])[] = [];
  /** Handles of results that were not freed. */
  readonly heldHandles = new Set<string>();
  readonly #options: StageRunnerStandInOptions;
  readonly #server: Server;
  #address = "";
  #incarnation = 1;
  #callQueue: Promise<void> = Promise.resolve();
  #resultCount = 0;
  /** Calls that haven't ended, of which it works on the first. */
  #openCalls = 0;

  constructor(options: StageRunnerStandInOptions) {
    this.#options = options;
    this.#server = createTextServer((message, text, response) => {
      if (message.headers["x-expect-instance"] === this.id) {
        this.#handle(message.url ?? "", text, response);
      } else {
        if (message.url === RUN_PATH) this.#recordArrivals(readEntries(text));
        response.writeHead(421).end();
      }
    });
  }

  /** Changes with each restart. */
  get id(): string {
    const { id } = this.#options;
    return this.#incarnation === 1 ? id : `${id}-life-${this.#incarnation}`;
  }

  /** Closes all connections and refuses new ones until `restart`. */
  crash(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Loses all results and calls, and continues under a new id. */
  restart(): void {
    if (!this.#server.listening) {
      this.#server.listen(Number(this.#address.split(":")[1]), "127.0.0.1");
    }
    this.#incarnation++;
    this.heldHandles.clear();
    this.#callQueue = Promise.resolve();
    this.#server.closeAllConnections();
  }

  /** Is another runner from now on: under a new id, without results. */
  replace(): void {
    this.restart();
  }

  /** Listens on loopback; resolves to `address:port`. */
  async start(): Promise<string> {
    this.#address = await listenOnLoopback(this.#server);
    return this.#address;
  }

  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #handle(path: string, text: string, response: ServerResponse): void {
    const handlers: Readonly<Record<string, () => void>> = {
      "/-/report": () => this.#report(response),
      "/-/stage-free": () => this.#free(JSON.parse(text) as object, response),
      [RUN_PATH]: () => this.#run(readEntries(text), response),
    };
    if (this.isLeaving) response.setHeader("Server-Leaving", "1");
    if (this.limit.text !== undefined) {
      response.setHeader("Server-Limit", this.limit.text);
    }
    if (this.load !== undefined) {
      response.setHeader("X-Server-Load", this.load);
    }
    const handler = handlers[path];
    if (handler === undefined) response.writeHead(404).end();
    else handler();
  }

  #report(response: ServerResponse): void {
    const free = this.#options.room - this.heldHandles.size;
    const freeMb = free * this.#options.resultBytes / BYTES_PER_MEGABYTE;
    response.writeHead(200, { "Content-Type": "application/json" });
    const waiting = Math.max(0, this.#openCalls - 1);
    const busy = this.#openCalls > 0;
    response.end(JSON.stringify({ waiting, busy, freeMb }));
  }

  #free(body: object, response: ServerResponse): void {
    const { handles } = body as { readonly handles: readonly string[] };
    for (const handle of handles) this.heldHandles.delete(handle);
    response.writeHead(200).end();
  }

  #run(entries: readonly StageEntry[], response: ServerResponse): void {
    this.limit.recordArrival();
    this.#recordArrivals(entries);
    const fault = this.drawFault?.() ?? this.fault;
    if (fault === "mute") return;
    if (fault === "closed") {
      response.destroy();
      return;
    }
    if (fault === "full") {
      this.refusals++;
      response.writeHead(503, { "X-Not-Executed": "1" }).end();
      return;
    }
    if (this.retryAfter !== undefined) {
      this.refusals++;
      response.setHeader("Retry-After", this.retryAfter);
      response.writeHead(503, { "X-Not-Executed": "1" }).end();
      return;
    }
    this.#openCalls++;
    this.#callQueue = this.#callQueue.then(async () => {
      if (response.destroyed) return;
      this.calls.push(entries);
      await this.#simulateWork(entries.length);
      const answers = entries.map((entry) => this.#createResult(entry));
      response.writeHead(200, { "Content-Type": "application/json" });
      response.end(JSON.stringify({ entries: answers }));
    }).finally(() => this.#openCalls--);
  }

  #recordArrivals(entries: readonly StageEntry[]): void {
    for (const { id, stage, piece } of entries) {
      const key = `${id}/${stage}/${piece}`;
      this.arrivals.push({ key, at: performance.now() });
    }
  }

  #createResult(entry: StageEntry): object {
    const fault = this.drawFault?.() ?? this.fault;
    if (fault === "failing") return { reason: "error" };
    if (this.fault === "gone" && entry.inputs !== undefined) {
      return { reason: "gone" };
    }
    const hasNoRoom = this.fault === "no_room" ||
      this.heldHandles.size >= this.#options.room;
    if (hasNoRoom) return { reason: "room" };
    const handle = `${this.#address}/${(++this.#resultCount).toString(16)}`;
    this.heldHandles.add(handle);
    return { handle };
  }

  #simulateWork(pieces: number): Promise<void> {
    const { callMilliseconds, pieceMilliseconds } = this.#options;
    const faultFactor = this.fault === "slow" ? SLOW_FACTOR : 1;
    const factor = faultFactor * this.slowdown;
    const time = (callMilliseconds + pieces * pieceMilliseconds) *
      factor;
    return new Promise((resolve) => setTimeout(resolve, time));
  }
}

function readEntries(text: string): readonly StageEntry[] {
  const { entries } = JSON.parse(text) as {
    readonly entries: readonly StageEntry[];
  };
  return entries;
}
