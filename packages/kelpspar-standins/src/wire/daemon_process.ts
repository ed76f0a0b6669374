import type { ProgramStart } from "../process/process_group.ts";
import { writeFileSync } from "node:fs";
import { StartedProcess } from "../process/started_process.ts";

/** How to start a daemon process. */
export interface DaemonProcessOptions {
  readonly name: string;
  /** Path of the bundle that the platform runs. */
  readonly program: string;
  /** Path that the settings file is written to. */
  readonly settingsPath: string;
  readonly settings: Readonly<Record<string, unknown>>;
}

/** A daemon in a child process that can be restarted after it exits. */
export class DaemonProcess {
  readonly options: DaemonProcessOptions;
  readonly #programStart: ProgramStart;
  #process: StartedProcess | undefined;
  #isTerminated = false;

  constructor(options: DaemonProcessOptions) {
    this.options = options;
    const { name, program, settingsPath, settings } = options;
    const environment = { KELPSPAR_BOOT: settingsPath };
    this.#programStart = { name, program, environment };
    writeFileSync(settingsPath, JSON.stringify(settings));
  }

  /** Address that callers connect to, `address:port`. */
  get front(): string {
    return this.#listenAddress("front");
  }

  get directory(): string {
    return this.#listenAddress("directory");
  }

  /** Id of the current process. */
  get processId(): number | undefined {
    return this.#process?.processId;
  }

  start(): void {
    this.#process = new StartedProcess(this.#programStart);
  }

  signal(signal: NodeJS.Signals): void {
    this.#process?.signal(signal);
  }

  /**
   * Waits until the process exits and starts it again, unless `end` was
   * called: a daemon started after that would outlive its owner.
   */
  async restartAfterExit(): Promise<void> {
    const previous = this.#process;
    await previous?.exited;
    // Another call may have waited for the same exit and restarted it.
    if (!this.#isTerminated && this.#process === previous) this.start();
  }

  /** Kills the process and prevents further restarts. */
  async end(): Promise<void> {
    this.#isTerminated = true;
    await this.#process?.kill();
  }

  #listenAddress(name: string): string {
    const listen = this.options.settings["listen"] as Record<string, string>;
    return listen[name] ?? "";
  }
}
