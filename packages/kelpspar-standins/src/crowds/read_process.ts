// Reads what a process holds, in a thread of its own: the thread of a crowd is
// busy for up to a second.
import { readdirSync, readFileSync } from "node:fs";
import { workerData } from "node:worker_threads";
import { WATCHED_COUNTERS } from "./watched_counters.ts";

const MEMORY_MILLISECONDS = 50;
/** Descriptors are counted at each so many readings of the memory. */
const DESCRIPTOR_INTERVAL = 4;
const RESIDENT = /^VmRSS:\s+(\d+) kB$/m;

const counters = workerData as Int32Array;
let readings = 0;

function raise(place: number, value: number): void {
  if (value > Atomics.load(counters, place)) {
    Atomics.store(counters, place, value);
  }
}

function read(): void {
  const folder = `/proc/${Atomics.load(counters, WATCHED_COUNTERS.processId)}`;
  try {
    const status = readFileSync(`${folder}/status`, "utf8");
    const [, kilobytes = "0"] = RESIDENT.exec(status) ?? [];
    raise(WATCHED_COUNTERS.peakKilobytes, Number(kilobytes));
    if (readings++ % DESCRIPTOR_INTERVAL !== 0) return;
    const { length } = readdirSync(`${folder}/fd`);
    raise(WATCHED_COUNTERS.peakDescriptors, length);
  } catch {
    // The process isn't started yet, or has exited.
  }
}

setInterval(read, MEMORY_MILLISECONDS);
