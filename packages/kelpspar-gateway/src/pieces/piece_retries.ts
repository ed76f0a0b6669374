import type { TimerService } from "kelpspar-shared";
import type { RetryCause } from "../retries/retry_cause.ts";
import type { RetryGate } from "../retries/retry_gate.ts";
import type { ChainRun } from "./chain_run.ts";
import type { PieceQueue } from "./piece_queue.ts";
import type { PieceTask } from "./piece_task.ts";
import type { SentPieces } from "./sent_pieces.ts";

/** A chain fails when one of its pieces has failed this often. */
const MAX_FAILURES = 4;

/** What pieces need of the retry gate. */
export type PieceRetryGate = Pick<
  RetryGate,
  | "available"
  | "trySpend"
  | "giveBack"
  | "borrow"
  | "waitFor"
  | "recordPieces"
  | "retryAfterMilliseconds"
>;

/** Dependencies of `PieceRetries`, for one service. */
export interface PieceRetriesOptions {
  readonly service: string;
  readonly queue: PieceQueue;
  readonly retryGate: PieceRetryGate;
  readonly timer: TimerService;
  /** Called when a chain can't be completed. */
  readonly failed: (
    chain: ChainRun,
    reason: "failing" | "retry_budget",
  ) => void;
  /** Called when more pieces may be sent again. */
  readonly dispatch: () => void;
}

/**
 * Decides which pieces are sent again, within the fleet's retry budget. Pieces
 * wait in the queue for the budget and spend it when they are sent.
 */
export class PieceRetries {
  readonly #options: PieceRetriesOptions;
  #isBorrowing = false;

  constructor(options: PieceRetriesOptions) {
    this.#options = options;
  }

  /** True while a piece is still to be made and isn't queued. */
  isNeeded(task: PieceTask): boolean {
    return task.chain.isOpen && !task.isQueued &&
      !task.chain.isPieceDone(task.stage, task.piece);
  }

  /** True if no other call has one of the pieces, and its chain may be on time. */
  isOnlyCall(tasks: readonly PieceTask[]): boolean {
    const now = this.#options.timer.now();
    return tasks.some(({ chain, stage, piece, calls }) =>
      calls <= 1 && chain.isOpen && now < chain.objectiveAt &&
      !chain.isPieceDone(stage, piece)
    );
  }

  /** Number of queued pieces that may be sent again now. */
  get available(): number {
    return this.#options.retryGate.available(this.#options.service);
  }

  /** Spends the budget for the pieces of a call that is sent now. */
  recordSends(tasks: readonly PieceTask[], zone: string): SentPieces {
    const { retryGate, service } = this.#options;
    const causes = new Map<RetryCause, number>();
    let first = 0;
    for (const task of tasks) {
      if (task.chain.recordSend(task, zone)) {
        causes.set(task.retryCause, (causes.get(task.retryCause) ?? 0) + 1);
      } else first++;
    }
    const spent = [...causes].flatMap(([cause, count]) =>
      retryGate.trySpend(service, cause, count) ?? []
    );
    return { tasks, zone, first, spent };
  }

  /** Counts the first sends of a call whose connection is open. */
  recordConnection({ tasks, first }: SentPieces): void {
    const { retryGate, service } = this.#options;
    if (first === 0) return;
    const chains = new Set(tasks.map(({ chain }) => chain));
    const requests =
      [...chains].filter((chain) => chain.recordRequestAt(service)).length;
    retryGate.recordPieces(service, { requests, pieces: first });
  }

  /** Takes back the sends of a call of which nothing left this daemon. */
  withdrawSends({ tasks, zone, spent }: SentPieces): void {
    for (const task of tasks) task.chain.withdrawSend(task, zone);
    for (const retries of spent) this.#options.retryGate.giveBack(retries);
  }

  /** Queues pieces of calls still in flight, if the budget allows it now. */
  hedge(tasks: readonly PieceTask[]): void {
    const open = tasks.filter((task) => this.isNeeded(task));
    if (open.length === 0) return;
    if (this.available >= open.length) this.#queue(open, "hedge");
    else this.#borrow(open.length, () => this.#hedgeWithLoan(open));
  }

  /** Queues pieces that an endpoint rejected. */
  requeueRejected(tasks: readonly PieceTask[]): void {
    this.#queue(tasks.filter((task) => this.isNeeded(task)), "rejected");
  }

  /** Queues failed pieces again, or fails their chains. */
  retryOrFail(tasks: readonly PieceTask[], cause: "failed" | "not_sent"): void {
    for (const task of tasks) {
      if (!this.isNeeded(task) || task.calls > 0) continue;
      if (cause === "failed") task.failures++;
      if (task.failures >= MAX_FAILURES) {
        this.#options.failed(task.chain, "failing");
      } else this.#queue([task], "failed");
    }
  }

  /**
   * Borrows for the pieces that wait for the budget, in order of rank. Fails the
   * chains of those that would wait beyond their deadline, or until results that
   * they need have expired. Such a chain takes nothing from those behind it.
   */
  handleWaiting(
    tasks: readonly PieceTask[],
    options: { readonly workMilliseconds: number },
  ): void {
    const { retryGate, service, timer, failed } = this.#options;
    if (tasks.length === 0) return;
    this.#borrow(tasks.length, () => {});
    const now = timer.now();
    const rest = options.workMilliseconds;
    let ahead = this.available;
    for (const [chain, ofChain] of groupByChain(tasks)) {
      // A hedge that isn't sent leaves the call that it hedges.
      const waiting = ofChain.filter(({ calls }) => calls === 0);
      const [first] = waiting;
      if (!chain.isOpen || first === undefined) continue;
      const wait = retryGate.waitFor(service, ahead + waiting.length);
      const latest = Math.min(
        chain.deadlineAt - rest - chain.request.tailMilliseconds,
        chain.resultsExpireAt(first.stage) - rest,
      );
      if (now + wait > latest) failed(chain, "retry_budget");
      else ahead += waiting.length;
    }
  }

  #queue(tasks: readonly PieceTask[], cause: RetryCause): void {
    for (const task of tasks) task.retryCause = cause;
    this.#options.queue.add(tasks);
  }

  #hedgeWithLoan(tasks: readonly PieceTask[]): void {
    const open = tasks.filter((task) => this.isNeeded(task) && task.calls > 0);
    if (this.available >= open.length) this.#queue(open, "hedge");
  }

  #borrow(count: number, then: () => void): void {
    if (this.#isBorrowing) return;
    this.#isBorrowing = true;
    const { retryGate, service, dispatch } = this.#options;
    void retryGate.borrow(service, count).then((hasLoan) => {
      this.#isBorrowing = false;
      if (!hasLoan) return;
      then();
      dispatch();
    });
  }
}

function groupByChain(
  tasks: readonly PieceTask[],
): ReadonlyMap<ChainRun, readonly PieceTask[]> {
  const groups = new Map<ChainRun, PieceTask[]>();
  for (const task of tasks) {
    const group = groups.get(task.chain) ?? [];
    groups.set(task.chain, group);
    group.push(task);
  }
  return groups;
}
