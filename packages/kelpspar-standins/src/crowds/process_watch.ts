import { readdirSync, readFileSync } from "node:fs";

const MEMORY_MILLISECONDS = 50;
/** Descriptors are counted at each so many readings of the memory. */
const DESCRIPTOR_INTERVAL = 4;
const RESIDENT = /^VmRSS:\s+(\d+) kB$/m;
const BYTES_PER_KILOBYTE = 1_024;

/** Follows what a process holds. */
export class ProcessWatch {
  /** Highest resident memory. */
  peakBytes = 0;
  peakDescriptors = 0;
  readonly #processId: () => number | undefined;
  readonly #timer: NodeJS.Timeout;
  #readings = 0;

  constructor(processId: () => number | undefined) {
    this.#processId = processId;
    this.#timer = setInterval(() => this.#read(), MEMORY_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #read(): void {
    const folder = `/proc/${this.#processId()}`;
    try {
      const [, kilobytes = "0"] =
        RESIDENT.exec(readFileSync(`${folder}/status`, "utf8")) ?? [];
      this.peakBytes = Math.max(
        this.peakBytes,
        Number(kilobytes) * BYTES_PER_KILOBYTE,
      );
      if (this.#readings++ % DESCRIPTOR_INTERVAL !== 0) return;
      const { length } = readdirSync(`${folder}/fd`);
      this.peakDescriptors = Math.max(this.peakDescriptors, length);
    } catch {
      // The process has exited.
    }
  }
}
