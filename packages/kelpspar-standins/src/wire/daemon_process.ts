import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { writeFileSync } from "node:fs";

/** How a daemon process is started. */
export interface DaemonProcessOptions {
  readonly name: string;
  /** The bundle that the platform runs. */
  readonly program: string;
  /** Where its settings are written. */
  readonly settingsPath: string;
  readonly settings: Readonly<Record<string, unknown>>;
}

/** A daemon as a process of its own that signals are sent to. */
export class DaemonProcess {
  readonly options: DaemonProcessOptions;
  readonly log: string[] = [];
  #child: ChildProcess | undefined;
  #exited: Promise<void> = Promise.resolve();

  constructor(options: DaemonProcessOptions) {
    this.options = options;
    writeFileSync(options.settingsPath, JSON.stringify(options.settings));
  }

  /** Address that callers connect to. */
  get front(): string {
    return this.#listen("front");
  }

  get directory(): string {
    return this.#listen("directory");
  }

  start(): void {
    const { program, settingsPath } = this.options;
    const child = spawn(process.execPath, [program], {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, KELPSPAR_BOOT: settingsPath },
    });
    for (const stream of [child.stdout, child.stderr]) {
      stream.on("data", (chunk: Buffer) => this.log.push(chunk.toString()));
    }
    this.#exited = new Promise((resolve) => {
      child.once("close", () => resolve());
    });
    this.#child = child;
  }

  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /** Waits for the end of the process and starts it again. */
  async startAgain(): Promise<void> {
    await this.#exited;
    this.start();
  }

  async end(): Promise<void> {
    this.signal("SIGKILL");
    await this.#exited;
  }

  #listen(name: string): string {
    const listen = this.options.settings["listen"] as Record<string, string>;
    return listen[name] ?? "";
  }
}
