import type { ChildProcess } from "node:child_process";
import type { ScenarioAnswer } from "./scenario_result.ts";
import type { ScenarioOrder } from "./scenario_job.ts";
import { fork } from "node:child_process";
import { fileURLToPath } from "node:url";

/** Scenarios that run at a time. */
export const DEFAULT_WORKERS = 4;

interface WaitingOrder {
  readonly order: ScenarioOrder;
  readonly resolve: (answer: ScenarioAnswer) => void;
  readonly reject: (error: Error) => void;
}

/**
 * Runs scenarios in a few child processes. In a process of its own a scenario
 * takes half the time: node's test runner follows every promise of the
 * process that it runs in.
 */
export class ScenarioPool {
  readonly #mostWorkers: number;
  readonly #idle: ChildProcess[] = [];
  readonly #all = new Set<ChildProcess>();
  #waiting: WaitingOrder[] = [];

  constructor(options: { readonly workers?: number } = {}) {
    this.#mostWorkers = options.workers ?? DEFAULT_WORKERS;
  }

  /** Resolves to what became of the scenario. */
  run(order: ScenarioOrder): Promise<ScenarioAnswer> {
    return new Promise((resolve, reject) => {
      this.#waiting.push({ order, resolve, reject });
      this.#startNext();
    });
  }

  /** Ends the workers. */
  async close(): Promise<void> {
    const workers = [...this.#all];
    const ended = workers.map((worker) =>
      new Promise<void>((resolve) => worker.once("exit", () => resolve()))
    );
    for (const worker of workers) worker.disconnect();
    await Promise.all(ended);
  }

  #startNext(): void {
    if (this.#waiting.length === 0) return;
    const worker = this.#idle.pop() ?? this.#createWorker();
    if (worker === undefined) return;
    const next = this.#waiting.shift();
    if (next === undefined) return;
    const died = (): void => {
      next.reject(new Error("The process of the scenario ended"));
      this.#startNext();
    };
    worker.once("message", (answer: ScenarioAnswer) => {
      worker.off("exit", died);
      if (answer.isLast === true) this.#all.delete(worker);
      else this.#idle.push(worker);
      next.resolve(answer);
      this.#startNext();
    });
    worker.once("exit", died);
    worker.send(next.order);
  }

  #createWorker(): ChildProcess | undefined {
    if (this.#all.size >= this.#mostWorkers) return undefined;
    // A test runner's child talks to it over its output; ours must not.
    const { NODE_TEST_CONTEXT: _left, ...environment } = process.env;
    const worker = fork(
      fileURLToPath(new URL("./worker_main.ts", import.meta.url)),
      { env: environment },
    );
    this.#all.add(worker);
    worker.once("exit", () => this.#all.delete(worker));
    return worker;
  }
}
