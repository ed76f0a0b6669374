import type { TimerService } from "kelpspar-shared";
import type { RetryCause } from "../retries/retry_cause.ts";
import type { ServiceRetryBudget } from "../retries/service_retry_budget.ts";
import type { ChainRun } from "./chain_run.ts";
import type { PieceQueue } from "./piece_queue.ts";
import type { PieceTask } from "./piece_task.ts";

/** A chain fails when one of its pieces has failed this often. */
const MAX_FAILURES = 4;

/** Dependencies of `PieceRetries`, for one service. */
export interface PieceRetriesOptions {
  readonly service: string;
  readonly queue: PieceQueue;
  readonly budget: ServiceRetryBudget;
  readonly timer: TimerService;
  /** Called when a chain can't be completed. */
  readonly failed: (chain: ChainRun) => void;
}

/** Decides which pieces are retried, within the fleet's retry budget. */
export class PieceRetries {
  readonly #options: PieceRetriesOptions;

  constructor(options: PieceRetriesOptions) {
    this.#options = options;
  }

  /** Counts pieces that are sent for the first time towards the budget. */
  recordFirstAttempts(tasks: readonly PieceTask[]): void {
    const { budget, service, timer } = this.#options;
    for (const task of tasks) {
      const isFirst = task.failures === 0 && task.calls === 1;
      if (isFirst) budget.recordRequest(service, timer.now());
    }
  }

  /** True while a piece is still to be made and isn't queued. */
  isNeeded(task: PieceTask): boolean {
    return task.chain.isOpen && !task.isQueued &&
      !task.chain.isPieceDone(task.stage, task.piece);
  }

  /** Queues pieces of calls still in flight, if the budget allows it. */
  hedge(tasks: readonly PieceTask[]): void {
    const open = tasks.filter((task) => this.isNeeded(task));
    if (open.length > 0 && this.#spendBudget(open.length, "hedge")) {
      this.#options.queue.add(open);
    }
  }

  /** Queues pieces that an endpoint rejected, even if the budget is spent. */
  requeueRejected(tasks: readonly PieceTask[]): void {
    this.#spendBudget(tasks.length, "rejected");
    for (const task of tasks) this.#requeue(task);
  }

  /** Queues failed pieces again, or fails their chains. */
  retryOrFail(tasks: readonly PieceTask[], cause: "failed" | "not_sent"): void {
    for (const task of tasks) {
      if (!this.isNeeded(task) || task.calls > 0) continue;
      if (cause === "failed") task.failures++;
      const isLost = task.failures >= MAX_FAILURES ||
        (cause === "failed" && !this.#spendBudget(1, "failed"));
      if (isLost) this.#options.failed(task.chain);
      else this.#requeue(task);
    }
  }

  #requeue(task: PieceTask): void {
    if (this.isNeeded(task)) this.#options.queue.add([task]);
  }

  #spendBudget(count: number, cause: RetryCause): boolean {
    const { budget, service, timer } = this.#options;
    return budget.trySpend(service, {
      count,
      cause,
      senderCount: 1,
      now: timer.now(),
    });
  }
}
