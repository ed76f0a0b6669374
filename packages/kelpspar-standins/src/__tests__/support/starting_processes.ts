import type { BuiltProgram } from "../../wire/build_program.ts";
import { join } from "node:path";
import { request as sendRequest } from "undici";
import { DaemonProcess } from "../../wire/daemon_process.ts";
import { WireSite } from "../../wire/wire_site.ts";

const DEADLINE_MILLISECONDS = 2_500;

/** A daemon's log line, in part. */
interface LogLine {
  readonly message?: string;
  readonly coordinator?: string;
}

/** A fleet of daemon processes that start together, as after a power cut. */
export class StartingProcesses {
  /** When the first daemon had its configuration, monotonic milliseconds. */
  firstReadyAt = Number.POSITIVE_INFINITY;
  /** The coordinators that stages ended at, by the time of their end. */
  readonly coordinators: { readonly id: string; readonly at: number }[] = [];
  readonly #site = new WireSite({
    stageRunners: 4,
    modelRunners: 4,
    room: 200,
  });
  readonly #daemons: DaemonProcess[] = [];
  #nextId = 1;

  /**
   * Starts daemons whose addresses the store has from an earlier run, within
   * `spreadMilliseconds`.
   */
  async start(
    { folder, program, nodeArguments }: BuiltProgram,
    options: { readonly count: number; readonly spreadMilliseconds: number },
  ): Promise<void> {
    const { count, spreadMilliseconds } = options;
    await this.#site.start();
    for (let number = 1; number <= count; number++) {
      const settings = await this.#createSettings(number);
      const daemon = new DaemonProcess({
        name: `d${number}`,
        program: join(folder, program),
        nodeArguments,
        settingsPath: join(folder, `d${number}-of-${count}.json`),
        settings,
      });
      daemon.registerLine((line) => this.#handleLine(line));
      this.#daemons.push(daemon);
    }
    for (const [index, daemon] of this.#daemons.entries()) {
      setTimeout(() => daemon.start(), index * spreadMilliseconds / count);
    }
  }

  /** Sends one request to the daemons in turn; true if it was served. */
  async send(): Promise<boolean> {
    const id = this.#nextId++;
    const daemon = this.#daemons[id % this.#daemons.length];
    try {
      const { statusCode, body } = await sendRequest(
        `http://${daemon?.front}/stream/x`,
        {
          method: "POST",
          headers: {
            host: this.#site.host,
            "x-attempt-id": `a${id}`,
            "x-deadline-ms": String(DEADLINE_MILLISECONDS),
            "x-api-key": "key-1",
            "x-pieces": "2,3",
            "x-piece-key": "k",
          },
          body: "body",
        },
      );
      await body.text();
      return statusCode === 200;
    } catch {
      // Not listening yet.
      return false;
    }
  }

  async end(): Promise<void> {
    await Promise.all(this.#daemons.map((daemon) => daemon.end()));
    this.#site.stop();
  }

  /**
   * Each daemon has a loopback address of its own, so that connections of the
   * others can't take its ports.
   */
  async #createSettings(number: number): Promise<Record<string, unknown>> {
    const ip = `127.0.1.${number}`;
    const first = this.#daemons[0]?.options.settings["listen"];
    const seeds = first === undefined
      ? []
      : [(first as Record<string, string>)["control"] ?? ""];
    const own = await this.#site.createSettings(`d${number}`, seeds);
    const listen = Object.fromEntries(
      Object.entries(own["listen"] as Record<string, string>).map((
        [name, address],
      ) => [name, address.replace("127.0.0.1", ip)]),
    );
    this.#site.store.put("daemons", `d${number}`, {
      daemonId: `d${number}`,
      front: listen["front"],
      peer: listen["control"],
      zone: own["zone"],
      cores: 1,
    });
    return { ...own, ip, listen };
  }

  #handleLine(text: string): void {
    if (!text.startsWith("{")) return;
    const { message, coordinator } = JSON.parse(text) as LogLine;
    const now = performance.now();
    if (message === "configuration in force") {
      this.firstReadyAt = Math.min(this.firstReadyAt, now);
    }
    if (message === "stages ended") {
      this.coordinators.push({ id: String(coordinator), at: now });
    }
  }
}
