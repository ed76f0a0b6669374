import type { ClaimHandle } from "../claims/claim_handle.ts";
import type { ClaimSettlement } from "../claims/claim_listener.ts";
import type { ClaimService } from "../claims/claim_service.ts";
import type { OnceGuard } from "./once_guard.ts";
import type { RequestContext } from "./request_context.ts";
import type { StoredResult } from "kelpspar-decisions/claims";
import type { KelpsparError, TimerService } from "kelpspar-shared";

const CONFIRM_LIMIT_MILLISECONDS = 800;
const DOUBTFUL_LIMIT_MILLISECONDS = 150;

/** What a claim is made for. */
export interface ClaimedOnceGuardOptions {
  readonly claims: ClaimService;
  readonly context: RequestContext;
  readonly idempotencyKey: string;
  readonly daemon: string;
  readonly timer: TimerService;
  /** The refusal of a request whose claim is not confirmed in time. */
  readonly createStoreError: () => KelpsparError;
  /** Told when another operation holds the key. */
  readonly onSettled: (settlement: ClaimSettlement) => void;
}

/**
 * Guards a request by a claim in the table.
 *
 * The claim is begun beside the stage before the first one that must run once:
 * late, because a daemon that dies holding a claim leaves its caller with
 * `outcome_unknown` although nothing ran; not later, because its round trip
 * then costs the request no time. A key that is claimed or done already is
 * noticed at the request's arrival by a read.
 */
export class ClaimedOnceGuard implements OnceGuard {
  readonly #options: ClaimedOnceGuardOptions;
  readonly #confirmed: Promise<void>;
  readonly #ready: Promise<void>;
  #confirm = (): void => {};
  #handle: ClaimHandle | undefined;
  #isOver = false;
  #isConfirmed = false;

  constructor(options: ClaimedOnceGuardOptions) {
    this.#options = options;
    const { signal } = options.context.abort;
    this.#confirmed = new Promise<void>((resolve, reject) => {
      this.#confirm = resolve;
      signal.addEventListener("abort", () => reject(signal.reason));
    });
    // A request that fails before its first such stage never waits for it.
    this.#confirmed.catch(() => {});
    const isDoubtful = !options.claims.isStoreUsable();
    const looked = this.#lookAhead(isDoubtful);
    this.#ready = isDoubtful ? looked : Promise.resolve();
  }

  /**
   * While the store fails, nothing begins before it has answered: the stages
   * before the claim would cost runner time for a request that is refused.
   */
  async ready(): Promise<void> {
    await this.#ready;
    this.#options.context.abort.signal.throwIfAborted();
  }

  prepare(): void {
    if (this.#handle !== undefined || this.#isOver) return;
    const { claims, context, idempotencyKey, daemon } = this.#options;
    const stopWaiting = this.#limitWaiting(CONFIRM_LIMIT_MILLISECONDS);
    this.#handle = claims.begin({
      accountId: context.account.id,
      idempotencyKey,
      identity: {
        operationId: context.requestId,
        daemon,
        requestId: context.requestId,
        bodyHash: context.bodyHash,
      },
      listener: {
        onRun: () => {
          stopWaiting();
          this.#isConfirmed = true;
          this.#confirm();
        },
        onSettled: (settlement) => {
          stopWaiting();
          this.#settle(settlement);
        },
      },
    });
  }

  confirmed(): Promise<void> {
    this.prepare();
    return this.#confirmed;
  }

  dispatch(): boolean {
    return this.#handle?.dispatch() ?? false;
  }

  notStarted(): void {
    this.#handle?.notStarted();
  }

  /** Keeps the result for retries. */
  complete(result: StoredResult): void {
    this.#handle?.complete(result);
  }

  /** Ends the request without a result: from here on it never dispatches. */
  giveUp(): void {
    this.#isOver = true;
    this.#handle?.giveUp();
  }

  /** Says that no result will come any more. */
  forget(): void {
    this.#handle?.forget();
  }

  /**
   * While the store fails, the look ahead decides: a store that does not
   * answer it at once refuses the request, one that does goes on.
   */
  async #lookAhead(isDoubtful: boolean): Promise<void> {
    const { claims, context, idempotencyKey, createStoreError } = this.#options;
    const stopWaiting = isDoubtful
      ? this.#limitWaiting(DOUBTFUL_LIMIT_MILLISECONDS)
      : () => {};
    const found = await claims.lookAhead({
      accountId: context.account.id,
      idempotencyKey,
      bodyHash: context.bodyHash,
    });
    stopWaiting();
    if (found === "unavailable") {
      const isRefused = isDoubtful && !this.#isConfirmed;
      if (isRefused) context.abort.abort(createStoreError());
      return;
    }
    if (found !== undefined && this.#handle === undefined) this.#settle(found);
  }

  #settle(settlement: ClaimSettlement): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#options.onSettled(settlement);
  }

  /**
   * A store that does not answer would otherwise hold the request back until
   * its deadline; it is told at once that it was not run, and when to return.
   */
  #limitWaiting(milliseconds: number): () => void {
    const { context, timer, createStoreError } = this.#options;
    const { abort } = context;
    const stop = timer.registerTimeout(() => {
      // A claim that was confirmed meanwhile needs no answer any more.
      if (!this.#isConfirmed) abort.abort(createStoreError());
    }, milliseconds);
    abort.signal.addEventListener("abort", stop);
    return stop;
  }
}
