import type { Measurement, Subject } from "./measurement.ts";

const BATCH_COUNT = 9;
const BATCH_MICROSECONDS = 10_000;
const WARM_UP_MICROSECONDS = 30_000;
const STATE_TRIAL_COUNT = 5;
const ROUNDING_FACTOR = 100;

/** A measured operation; `index` increases by one with each call. */
export type Operation = (index: number) => unknown;

/**
 * Measures the processor time of an operation: the median over batches, after
 * a warm-up. It reads the processor time of the whole process, including the
 * garbage collector's threads, because a CPU limit counts these too. Unlike
 * wall-clock time, it does not grow while other programs use the machine.
 */
export function measureOperation(
  subject: Subject,
  operation: Operation,
): Measurement {
  const timer = new BatchTimer(operation);
  const calls = timer.warmUp();
  const times = Array.from(
    { length: BATCH_COUNT },
    () => timer.runBatch(calls) / calls,
  ).sort((left, right) => left - right);
  return { ...subject, microseconds: round(times[BATCH_COUNT >> 1] ?? 0) };
}

/**
 * Measures how much a state grows the heap, in bytes: the median of several
 * trials. Measures nothing without `--expose-gc`.
 */
export function measureState(
  subject: Subject,
  create: () => unknown,
): Measurement {
  if (gc === undefined) return subject;
  create();
  const trials = Array.from(
    { length: STATE_TRIAL_COUNT },
    () => measureHeapGrowth(create),
  )
    .sort((left, right) => left - right);
  return { ...subject, stateBytes: trials[STATE_TRIAL_COUNT >> 1] ?? 0 };
}

function measureHeapGrowth(create: () => unknown): number {
  gc?.();
  const before = process.memoryUsage().heapUsed;
  // Keeps the state reachable, so that it is not collected before the second
  // reading.
  const retained = [create()];
  gc?.();
  const after = process.memoryUsage().heapUsed;
  retained.length = 0;
  return after - before;
}

/** Size of a message as JSON, in bytes. */
export function countBytes(message: unknown): number {
  return Buffer.byteLength(JSON.stringify(message));
}

class BatchTimer {
  readonly #operation: Operation;
  #index = 0;

  constructor(operation: Operation) {
    this.#operation = operation;
  }

  /**
   * Doubles the batch until it takes long enough to measure, and runs it until
   * the warm-up time is spent. Returns the number of calls in a batch.
   */
  warmUp(): number {
    let calls = 1;
    let total = 0;
    for (;;) {
      const elapsed = this.runBatch(calls);
      total += elapsed;
      if (elapsed >= BATCH_MICROSECONDS) {
        if (total >= WARM_UP_MICROSECONDS) return calls;
      } else calls *= 2;
    }
  }

  runBatch(calls: number): number {
    const before = process.cpuUsage();
    for (let call = 0; call < calls; call++) this.#operation(this.#index++);
    const { user, system } = process.cpuUsage(before);
    return user + system;
  }
}

function round(value: number): number {
  return Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR;
}
