import type { ProgramStart } from "../process/process_group.ts";
import type { PartitionMode } from "./network_partition.ts";
import { writeFileSync } from "node:fs";
import { pathToFileURL } from "node:url";
import { StartedProcess } from "../process/started_process.ts";
import {
  PARTITION_FILE_VARIABLE,
  writePartitionFile,
} from "./partition_file.ts";

/** How to start a daemon process. */
export interface DaemonProcessOptions {
  readonly name: string;
  /** Path of the bundle that the platform runs. */
  readonly program: string;
  /** Path that the settings file is written to. */
  readonly settingsPath: string;
  readonly settings: Readonly<Record<string, unknown>>;
  /** Options of Node.js. */
  readonly nodeArguments?: readonly string[];
  /** For processes that can be partitioned from endpoints. */
  readonly partition?: {
    /** Path of the compiled `partition_hook.ts`. */
    readonly hook: string;
    /** Addresses of the endpoints, `address:port`. */
    readonly addresses: readonly string[];
  };
}

/** A daemon in a child process that can be restarted after it exits. */
export class DaemonProcess {
  readonly options: DaemonProcessOptions;
  readonly #programStart: ProgramStart;
  #process: StartedProcess | undefined;
  /** The last process that was told to stop. */
  #stoppedProcess: StartedProcess | undefined;
  readonly #listeners = new Set<(line: string) => void>();
  #isTerminated = false;
  #isPartitioned = false;

  constructor(options: DaemonProcessOptions) {
    this.options = options;
    const { name, program, settingsPath, settings, partition } = options;
    this.#programStart = {
      name,
      program,
      environment: {
        KELPSPAR_BOOT: settingsPath,
        [PARTITION_FILE_VARIABLE]: this.#partitionPath,
      },
      nodeArguments: [
        ...options.nodeArguments ?? [],
        ...(partition === undefined
          ? []
          : ["--import", pathToFileURL(partition.hook).href]),
      ],
    };
    writeFileSync(settingsPath, JSON.stringify(settings));
    this.partition(undefined);
  }

  /** Address that callers connect to, `address:port`. */
  get front(): string {
    return this.#listenAddress("front");
  }

  /** Address that tells whether it is ready, `address:port`. */
  get ready(): string {
    return this.#listenAddress("ready");
  }

  get directory(): string {
    return this.#listenAddress("directory");
  }

  /** Id of the current process. */
  get processId(): number | undefined {
    return this.#process?.processId;
  }

  /** Resolves when the current process has ended. */
  get exited(): Promise<unknown> {
    return this.#process?.exited ?? Promise.resolve();
  }

  /** Whether the current process was told to stop and still runs. */
  get isStopping(): boolean {
    return this.processId !== undefined &&
      this.#process === this.#stoppedProcess;
  }

  get isPartitioned(): boolean {
    return this.#isPartitioned;
  }

  start(): void {
    this.#process = new StartedProcess(this.#programStart);
    this.#process.registerLine((line) => {
      for (const listener of this.#listeners) listener(line);
    });
  }

  /** Calls `listener` for each line that the process writes. */
  registerLine(listener: (line: string) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  signal(signal: NodeJS.Signals): void {
    if (signal === "SIGTERM") this.#stoppedProcess = this.#process;
    this.#process?.signal(signal);
  }

  /**
   * Partitions the process from all endpoints, or ends that. A partition goes on
   * when the process is restarted.
   */
  partition(mode: PartitionMode | undefined): void {
    const { partition } = this.options;
    if (partition === undefined || this.#isTerminated) return;
    const { addresses } = partition;
    this.#isPartitioned = mode !== undefined;
    writePartitionFile(this.#partitionPath, { addresses, mode });
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

  get #partitionPath(): string {
    return `${this.options.settingsPath}.partition`;
  }

  #listenAddress(name: string): string {
    const listen = this.options.settings["listen"] as Record<string, string>;
    return listen[name] ?? "";
  }
}
