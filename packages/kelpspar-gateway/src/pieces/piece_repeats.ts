import type { TimerService } from "kelpspar-shared";
import type { ServiceRetryBudget } from "../retries/service_retry_budget.ts";
import type { ChainRun } from "./chain_run.ts";
import type { PieceQueue } from "./piece_queue.ts";
import type { PieceTask } from "./piece_task.ts";

/** A piece that failed so often ends its chain. */
const MOST_FAILURES = 4;

/** What pieces of one service are sent again with. */
export interface PieceRepeatsOptions {
  readonly service: string;
  readonly queue: PieceQueue;
  readonly budget: ServiceRetryBudget;
  readonly timer: TimerService;
  /** Told that a chain can't be completed. */
  readonly failed: (chain: ChainRun) => void;
}

/** Which pieces are sent again; repeats come out of the fleet's budget. */
export class PieceRepeats {
  readonly #options: PieceRepeatsOptions;

  constructor(options: PieceRepeatsOptions) {
    this.#options = options;
  }

  /** Counts pieces that are sent for the first time. */
  recordFirst(tasks: readonly PieceTask[]): void {
    const { budget, service, timer } = this.#options;
    for (const task of tasks) {
      const isFirst = task.failures === 0 && task.calls === 1;
      if (isFirst) budget.recordRequest(service, timer.now());
    }
  }

  /** True while a piece is to be made and doesn't wait already. */
  isWanted(task: PieceTask): boolean {
    return task.chain.isOpen && !task.isQueued &&
      !task.chain.isMade(task.stage, task.piece);
  }

  /** Queues pieces that other calls still carry, if the budget allows it. */
  double(tasks: readonly PieceTask[]): void {
    const open = tasks.filter((task) => this.isWanted(task));
    if (open.length > 0 && this.#spend(open.length)) {
      this.#options.queue.add(open);
    }
  }

  /** Queues pieces that an endpoint turned away, whatever the budget says. */
  turnedAway(tasks: readonly PieceTask[]): void {
    this.#spend(tasks.length);
    for (const task of tasks) this.#requeue(task);
  }

  /** Makes pieces again, or gives their chains up. */
  again(tasks: readonly PieceTask[], cause: "failed" | "not_sent"): void {
    for (const task of tasks) {
      if (!this.isWanted(task) || task.calls > 0) continue;
      if (cause === "failed") task.failures++;
      const isLost = task.failures >= MOST_FAILURES ||
        (cause === "failed" && !this.#spend(1));
      if (isLost) this.#options.failed(task.chain);
      else this.#requeue(task);
    }
  }

  #requeue(task: PieceTask): void {
    if (this.isWanted(task)) this.#options.queue.add([task]);
  }

  #spend(count: number): boolean {
    const { budget, service, timer } = this.#options;
    return budget.trySpend(service, {
      count,
      senderCount: 1,
      now: timer.now(),
    });
  }
}
