import type { Server, ServerResponse } from "node:http";
import { createTextServer } from "./create_text_server.ts";
import { listenOnLoopback } from "./listen_on_loopback.ts";
import { NamedLimit } from "./advertised_limit.ts";

/** What a stage runner does to calls while a fault is set. */
export type StageFault = "none" | "mute" | "slow" | "no_room" | "gone";

interface StageEntry {
  readonly id: string;
  readonly stage: number;
  readonly piece: number;
  readonly key?: string;
  readonly inputs?: readonly string[];
}

/** How a stage runner works. */
export interface StageRunnerStandInOptions {
  readonly id: string;
  readonly callMilliseconds: number;
  readonly pieceMilliseconds: number;
  /** Results that it has room for. */
  readonly room: number;
  readonly resultBytes: number;
}

const BYTES_PER_MEGABYTE = 1_000_000;

/** How many times as long a slow runner takes. */
const SLOW_FACTOR = 6;

/** A runner of stage pieces at its published protocol, one call at a time. */
export class StageRunnerStandIn {
  fault: StageFault = "none";
  /** Says in all answers that it leaves. */
  isLeaving = false;
  readonly limit = new NamedLimit();
  /** Refuses calls and asks for a pause of so long; undefined to take them. */
  retryAfter: string | undefined;
  /** Calls that it refused so. */
  refusals = 0;
  /** Pieces of each call that was worked on. */
  readonly calls: (readonly StageEntry[])[] = [];
  /** Handles that are kept now. */
  readonly kept = new Set<string>();
  readonly #options: StageRunnerStandInOptions;
  readonly #server: Server;
  #address = "";
  #turn: Promise<void> = Promise.resolve();
  #made = 0;

  constructor(options: StageRunnerStandInOptions) {
    this.#options = options;
    this.#server = createTextServer((message, text, response) => {
      if (message.headers["x-expect-instance"] === options.id) {
        this.#take(message.url ?? "", text, response);
      } else response.writeHead(421).end();
    });
  }

  /** Listens on loopback; gives `address:port`. */
  async start(): Promise<string> {
    this.#address = await listenOnLoopback(this.#server);
    return this.#address;
  }

  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #take(path: string, text: string, response: ServerResponse): void {
    const handlers: Readonly<Record<string, () => void>> = {
      "/-/report": () => this.#report(response),
      "/-/stage-free": () => this.#free(JSON.parse(text) as object, response),
      "/-/stage-run": () => {
        const { entries } = JSON.parse(text) as {
          readonly entries: readonly StageEntry[];
        };
        this.#run(entries, response);
      },
    };
    if (this.isLeaving) response.setHeader("Server-Leaving", "1");
    if (this.limit.text !== undefined) {
      response.setHeader("Server-Limit", this.limit.text);
    }
    const handler = handlers[path];
    if (handler === undefined) response.writeHead(404).end();
    else handler();
  }

  #report(response: ServerResponse): void {
    const free = this.#options.room - this.kept.size;
    const freeMb = free * this.#options.resultBytes / BYTES_PER_MEGABYTE;
    response.writeHead(200, { "Content-Type": "application/json" });
    response.end(JSON.stringify({ waiting: 0, busy: false, freeMb }));
  }

  #free(body: object, response: ServerResponse): void {
    const { handles } = body as { readonly handles: readonly string[] };
    for (const handle of handles) this.kept.delete(handle);
    response.writeHead(200).end();
  }

  #run(entries: readonly StageEntry[], response: ServerResponse): void {
    this.limit.arrived();
    if (this.fault === "mute") return;
    if (this.retryAfter !== undefined) {
      this.refusals++;
      response.setHeader("Retry-After", this.retryAfter);
      response.writeHead(503, { "X-Not-Executed": "1" }).end();
      return;
    }
    this.#turn = this.#turn.then(async () => {
      if (response.destroyed) return;
      this.calls.push(entries);
      await this.#work(entries.length);
      const answers = entries.map((entry) => this.#make(entry));
      response.writeHead(200, { "Content-Type": "application/json" });
      response.end(JSON.stringify({ entries: answers }));
    });
  }

  #make(entry: StageEntry): object {
    if (this.fault === "gone" && entry.inputs !== undefined) {
      return { reason: "gone" };
    }
    const hasNoRoom = this.fault === "no_room" ||
      this.kept.size >= this.#options.room;
    if (hasNoRoom) return { reason: "room" };
    const handle = `${this.#address}/${(++this.#made).toString(16)}`;
    this.kept.add(handle);
    return { handle };
  }

  #work(pieces: number): Promise<void> {
    const { callMilliseconds, pieceMilliseconds } = this.#options;
    const factor = this.fault === "slow" ? SLOW_FACTOR : 1;
    const time = (callMilliseconds + pieces * pieceMilliseconds) * factor;
    return new Promise((resolve) => setTimeout(resolve, time));
  }
}
