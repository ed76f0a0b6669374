import type { TimerService } from "kelpspar-shared";
import type { RunningProcess } from "./running_process.ts";
import { StartedProcess } from "./started_process.ts";

const DEFAULT_START_TIMEOUT_MILLISECONDS = 20_000;
const DEFAULT_STOP_TIMEOUT_MILLISECONDS = 20_000;

/** A program to start. */
export interface ProgramStart {
  /** The path of the program's JavaScript file. */
  readonly program: string;
  /** Passed as JSON after `settingsOption`; absent omits the option. */
  readonly settings?: unknown;
  /** Default `--settings-json`. */
  readonly settingsOption?: string;
  /** Arguments that precede the settings, such as a subcommand. */
  readonly arguments?: readonly string[];
  /** Arguments for Node.js itself. */
  readonly nodeArguments?: readonly string[];
  /** Environment variables in addition to those of this process. */
  readonly environment?: Readonly<Record<string, string>>;
  /** Name used in messages; default: the program's path. */
  readonly name?: string;
}

/**
 * Starts and terminates the processes of a demonstration, a test or an
 * experiment. The product itself starts no process.
 */
export class ProcessGroup {
  readonly #timer: TimerService;
  readonly #processes = new Set<StartedProcess>();

  constructor(options: { readonly timer: TimerService }) {
    this.#timer = options.timer;
  }

  /**
   * Starts a program and waits for its listening line. Throws, with the
   * program's last output, when it exits or times out before that.
   */
  async start(
    start: ProgramStart,
    options: { readonly limitMilliseconds?: number } = {},
  ): Promise<RunningProcess> {
    const started = new StartedProcess(start);
    this.#processes.add(started);
    void started.exited.then(() => this.#processes.delete(started));
    const limit = options.limitMilliseconds ??
      DEFAULT_START_TIMEOUT_MILLISECONDS;
    const stopTimer = this.#timer.registerTimeout(() => {
      started.signal("SIGKILL");
    }, limit);
    try {
      await started.waitUntilListening();
    } finally {
      stopTimer();
    }
    return started;
  }

  /**
   * Stops every process gracefully. Returns the names of those that were killed
   * because they did not exit in time.
   */
  async stopAll(
    options: { readonly limitMilliseconds?: number } = {},
  ): Promise<readonly string[]> {
    const limit = options.limitMilliseconds ??
      DEFAULT_STOP_TIMEOUT_MILLISECONDS;
    const killed: string[] = [];
    const stopTimer = this.#timer.registerTimeout(() => {
      for (const started of this.#processes) {
        killed.push(started.name);
        started.signal("SIGKILL");
      }
    }, limit);
    await Promise.all([...this.#processes].map((started) => started.stop()));
    stopTimer();
    return killed;
  }
}
