import type { Measurement, Subject } from "./measurement.ts";

const BATCHES = 9;
const BATCH_MICROSECONDS = 10_000;
const MICROSECONDS_PER_WARM_UP = 30_000;
const STATE_TRIALS = 5;
const DECIMALS = 100;

/** An operation; `index` grows with each call. */
export type Operation = (index: number) => unknown;

/**
 * The median over batches of an operation's processor time, after a warm-up.
 * Processor time of the whole process is read, the collector's threads
 * included, since the limit counts these and since other programs on the
 * machine then lengthen nothing but the wait.
 */
export function measureOperation(
  subject: Subject,
  operation: Operation,
): Measurement {
  const clock = new BatchClock(operation);
  const calls = clock.warmUp();
  const times = Array.from(
    { length: BATCHES },
    () => clock.run(calls) / calls,
  ).sort((left, right) => left - right);
  return { ...subject, microseconds: round(times[BATCHES >> 1] ?? 0) };
}

/**
 * How much the heap grows by a state, the median of several trials; nothing
 * without `--expose-gc`.
 */
export function measureState(
  subject: Subject,
  create: () => unknown,
): Measurement {
  if (gc === undefined) return subject;
  create();
  const trials = Array.from({ length: STATE_TRIALS }, () => growHeap(create))
    .sort((left, right) => left - right);
  return { ...subject, stateBytes: trials[STATE_TRIALS >> 1] ?? 0 };
}

function growHeap(create: () => unknown): number {
  gc?.();
  const before = process.memoryUsage().heapUsed;
  // Held until the second reading, or the collector takes it first.
  const held = [create()];
  gc?.();
  const after = process.memoryUsage().heapUsed;
  held.length = 0;
  return after - before;
}

/** Bytes of a message as JSON. */
export function countBytes(message: unknown): number {
  return Buffer.byteLength(JSON.stringify(message));
}

class BatchClock {
  readonly #operation: Operation;
  #index = 0;

  constructor(operation: Operation) {
    this.#operation = operation;
  }

  /** Runs until it is warm; returns the calls of a batch. */
  warmUp(): number {
    let calls = 1;
    let total = 0;
    for (;;) {
      const taken = this.run(calls);
      total += taken;
      if (taken >= BATCH_MICROSECONDS) {
        if (total >= MICROSECONDS_PER_WARM_UP) return calls;
      } else calls *= 2;
    }
  }

  run(calls: number): number {
    const before = process.cpuUsage();
    for (let call = 0; call < calls; call++) this.#operation(this.#index++);
    const { user, system } = process.cpuUsage(before);
    return user + system;
  }
}

function round(value: number): number {
  return Math.round(value * DECIMALS) / DECIMALS;
}
