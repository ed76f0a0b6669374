import type { DaemonProcess } from "../wire/daemon_process.ts";
import type { CrowdKind } from "./crowd_kind.ts";
import type { CrowdKindName } from "./crowd_kinds.ts";
import type { CrowdPort } from "./crowd_port.ts";
import { CrowdCaller } from "./crowd_caller.ts";
import { CROWD_KINDS } from "./crowd_kinds.ts";

const DEFAULT_SECONDS = 6;
const DEFAULT_REST_SECONDS = 1;
const MILLISECONDS_PER_SECOND = 1_000;
const SERVED_STATUS = 200;
const REFUSED_STATUS = 503;

/** Options of a `Crowd`. */
export interface CrowdOptions {
  readonly kind: CrowdKindName;
  /** The daemons that it calls, in rotation. */
  readonly daemons: readonly DaemonProcess[];
  readonly host: string;
  /** Default that of the kind. */
  readonly connections?: number | undefined;
  /** Maximum time that it sends; default that of the kind. */
  readonly seconds?: number | undefined;
}

/** Callers of one kind that call at the same time. */
export class Crowd {
  readonly #kind: CrowdKind;
  readonly #options: CrowdOptions;
  readonly #callers: readonly CrowdCaller[];
  #isOver = false;

  constructor(options: CrowdOptions) {
    this.#options = options;
    this.#kind = CROWD_KINDS[options.kind];
    this.#callers = this.#createCallers(
      options.kind,
      options.connections ?? this.#kind.connections,
    );
  }

  /** Resolves when all callers have sent what they can, or time is over. */
  async play(): Promise<void> {
    const { behave, isAnswered, restSeconds } = this.#kind;
    const { seconds: ownSeconds = DEFAULT_SECONDS } = this.#kind;
    // Requests that must be answered take the time that they need.
    const seconds = isAnswered === true
      ? ownSeconds
      : this.#options.seconds ?? ownSeconds;
    await Promise.race([
      Promise.all(this.#callers.map((caller) => behave(caller))),
      wait(seconds),
    ]);
    this.#isOver = true;
    await wait(restSeconds ?? DEFAULT_REST_SECONDS);
  }

  /** Closes the connections that are still open. */
  close(): void {
    this.#isOver = true;
    for (const caller of this.#callers) caller.close();
  }

  /** One line for each kind of answer that its requests mustn't get. */
  findWrongAnswers(): readonly string[] {
    if (this.#kind.isAnswered !== true) return [];
    const counts = new Map<string, number>();
    for (const { connection } of this.#callers) {
      const { status, hasRetryAfter } = connection?.answer ?? {};
      const isRefused = status === REFUSED_STATUS && hasRetryAfter === true;
      if (status === SERVED_STATUS || isRefused) continue;
      const answer = status === REFUSED_STATUS
        ? "503 without Retry-After"
        : String(status ?? "no answer");
      counts.set(answer, (counts.get(answer) ?? 0) + 1);
    }
    return [...counts].map(([answer, count]) =>
      `${this.#options.kind}: ${count} of ${this.#callers.length} requests got ${answer}`
    );
  }

  /** Sends one of its requests alone; resolves to its status, if there is one. */
  async sendAlone(milliseconds: number): Promise<number | undefined> {
    this.#isOver = false;
    const [caller] = this.#createCallers(`${this.#options.kind}-alone`, 1);
    if (caller === undefined) return undefined;
    await Promise.race([
      this.#kind.behave(caller),
      wait(milliseconds / MILLISECONDS_PER_SECOND),
    ]);
    caller.close();
    return caller.connection?.answer?.status;
  }

  get isServedAlone(): boolean {
    return this.#kind.isServedAlone === true;
  }

  #createCallers(name: string, count: number): readonly CrowdCaller[] {
    const { daemons, host } = this.#options;
    const { port = "front" } = this.#kind;
    const addresses = daemons.map((daemon) => addressOf(daemon, port));
    return Array.from(
      { length: count },
      (_, index) =>
        new CrowdCaller({
          name,
          index,
          port,
          address: addresses[index % addresses.length] ?? "",
          host,
          isOver: () => this.#isOver,
        }),
    );
  }
}

function addressOf(daemon: DaemonProcess, port: CrowdPort): string {
  const { settings } = daemon.options;
  if (port === "metrics") {
    return `${settings["ip"]}:${settings["metricsPort"]}`;
  }
  return (settings["listen"] as Record<CrowdPort, string>)[port];
}

function wait(seconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, seconds * MILLISECONDS_PER_SECOND);
  });
}
