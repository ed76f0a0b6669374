import type { ProgramStart } from "../process/process_group.ts";
import { writeFileSync } from "node:fs";
import { StartedProcess } from "../process/started_process.ts";

/** How a daemon process is started. */
export interface DaemonProcessOptions {
  readonly name: string;
  /** The bundle that the platform runs. */
  readonly program: string;
  /** Where its settings are written. */
  readonly settingsPath: string;
  readonly settings: Readonly<Record<string, unknown>>;
}

/** A daemon as a process of its own that is started again after its end. */
export class DaemonProcess {
  readonly options: DaemonProcessOptions;
  readonly #start: ProgramStart;
  #process: StartedProcess | undefined;
  #isOver = false;

  constructor(options: DaemonProcessOptions) {
    this.options = options;
    const { name, program, settingsPath, settings } = options;
    const environment = { KELPSPAR_BOOT: settingsPath };
    this.#start = { name, program, environment };
    writeFileSync(settingsPath, JSON.stringify(settings));
  }

  /** Address that callers connect to. */
  get front(): string {
    return this.#listen("front");
  }

  get directory(): string {
    return this.#listen("directory");
  }

  /** Of the process that runs now. */
  get processId(): number | undefined {
    return this.#process?.processId;
  }

  start(): void {
    this.#process = new StartedProcess(this.#start);
  }

  signal(signal: NodeJS.Signals): void {
    this.#process?.signal(signal);
  }

  /**
   * Waits for the end of the process and starts it again, unless that end is
   * the last one: a daemon started then would outlive whoever started it.
   */
  async startAgain(): Promise<void> {
    const ended = this.#process;
    await ended?.exited;
    // Another call may have waited for the same end.
    if (!this.#isOver && this.#process === ended) this.start();
  }

  /** Ends the process for good. */
  async end(): Promise<void> {
    this.#isOver = true;
    await this.#process?.kill();
  }

  #listen(name: string): string {
    const listen = this.options.settings["listen"] as Record<string, string>;
    return listen[name] ?? "";
  }
}
