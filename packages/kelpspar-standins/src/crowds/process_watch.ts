import { Worker } from "node:worker_threads";
import { buildScript } from "../wire/build_program.ts";
import { WATCHED_COUNTERS } from "./watched_counters.ts";

const BYTES_PER_KILOBYTE = 1_024;
const PROCESS_MILLISECONDS = 50;
const READER = "packages/kelpspar-standins/src/crowds/read_process.ts";

/** Options of a `ProcessWatch`. */
export interface ProcessWatchOptions {
  /** Path of the compiled `read_process.ts`. */
  readonly reader: string;
  readonly processId: () => number | undefined;
}

/** Compiles what `ProcessWatch` runs in its thread. */
export function buildProcessReader(folder: string): string {
  return buildScript(READER, folder);
}

/** Follows what a process holds, and its successors after restarts. */
export class ProcessWatch {
  readonly #counters = new Int32Array(
    new SharedArrayBuffer(
      Object.keys(WATCHED_COUNTERS).length * Int32Array.BYTES_PER_ELEMENT,
    ),
  );
  readonly #worker: Worker;
  readonly #timer: NodeJS.Timeout;

  constructor({ reader, processId }: ProcessWatchOptions) {
    this.#worker = new Worker(reader, { workerData: this.#counters });
    this.#timer = setInterval(() => {
      const { processId: place } = WATCHED_COUNTERS;
      Atomics.store(this.#counters, place, processId() ?? 0);
    }, PROCESS_MILLISECONDS);
  }

  /** Highest resident memory. */
  get peakBytes(): number {
    const { peakKilobytes } = WATCHED_COUNTERS;
    return Atomics.load(this.#counters, peakKilobytes) * BYTES_PER_KILOBYTE;
  }

  get peakDescriptors(): number {
    return Atomics.load(this.#counters, WATCHED_COUNTERS.peakDescriptors);
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await this.#worker.terminate();
  }
}
