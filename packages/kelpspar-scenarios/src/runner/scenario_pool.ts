import type { ChildProcess } from "node:child_process";
import type { ScenarioResult } from "./scenario_result.ts";
import type { ScenarioJob } from "./scenario_job.ts";
import { fork } from "node:child_process";
import { fileURLToPath } from "node:url";

/** Number of scenarios that run concurrently. */
export const DEFAULT_WORKERS = 4;

interface QueuedJob {
  readonly order: ScenarioJob;
  readonly resolve: (result: ScenarioResult) => void;
  readonly reject: (error: Error) => void;
}

/**
 * Runs scenarios in child processes, where they take half the time: node's test
 * runner tracks every promise of the process that it runs in.
 */
export class ScenarioPool {
  readonly #maximumWorkers: number;
  readonly #idleWorkers: ChildProcess[] = [];
  readonly #workers = new Set<ChildProcess>();
  #queue: QueuedJob[] = [];

  constructor(options: { readonly workers?: number } = {}) {
    this.#maximumWorkers = options.workers ?? DEFAULT_WORKERS;
  }

  /** Resolves to the result; rejects if the worker process dies. */
  run(order: ScenarioJob): Promise<ScenarioResult> {
    return new Promise((resolve, reject) => {
      this.#queue.push({ order, resolve, reject });
      this.#startNext();
    });
  }

  /** Stops the workers and waits until they exited. */
  async close(): Promise<void> {
    const workers = [...this.#workers];
    const exits = workers.map((worker) =>
      new Promise<void>((resolve) => worker.once("exit", () => resolve()))
    );
    for (const worker of workers) worker.disconnect();
    await Promise.all(exits);
  }

  #startNext(): void {
    if (this.#queue.length === 0) return;
    const worker = this.#idleWorkers.pop() ?? this.#createWorker();
    if (worker === undefined) return;
    const next = this.#queue.shift();
    if (next === undefined) return;
    const onExit = (): void => {
      next.reject(
        new Error("The worker process exited while it ran the scenario"),
      );
      this.#startNext();
    };
    worker.once("message", (result: ScenarioResult) => {
      worker.off("exit", onExit);
      if (result.isLast === true) this.#workers.delete(worker);
      else this.#idleWorkers.push(worker);
      next.resolve(result);
      this.#startNext();
    });
    worker.once("exit", onExit);
    worker.send(next.order);
  }

  #createWorker(): ChildProcess | undefined {
    if (this.#workers.size >= this.#maximumWorkers) return undefined;
    // With NODE_TEST_CONTEXT set, a child writes test runner messages to stdout.
    const { NODE_TEST_CONTEXT: _left, ...environment } = process.env;
    const worker = fork(
      fileURLToPath(new URL("./worker_main.ts", import.meta.url)),
      { env: environment },
    );
    this.#workers.add(worker);
    worker.once("exit", () => this.#workers.delete(worker));
    return worker;
  }
}
