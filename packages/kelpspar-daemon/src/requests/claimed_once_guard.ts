import type { ClaimHandle } from "../claims/claim_handle.ts";
import type { ClaimSettlement } from "../claims/claim_listener.ts";
import type { ClaimService } from "../claims/claim_service.ts";
import type { OnceGuard } from "./once_guard.ts";
import type { RequestContext } from "./request_context.ts";
import type { StoredResult } from "kelpspar-decisions/claims";
import type { KelpsparError, TimerService } from "kelpspar-shared";

const CONFIRM_TIMEOUT_MILLISECONDS = 800;
const UNHEALTHY_STORE_TIMEOUT_MILLISECONDS = 150;

/** Options of `ClaimedOnceGuard`. */
export interface ClaimedOnceGuardOptions {
  readonly claims: ClaimService;
  readonly context: RequestContext;
  readonly idempotencyKey: string;
  readonly daemon: string;
  readonly timer: TimerService;
  /** Creates the error of a request whose claim is not confirmed in time. */
  readonly createStoreError: () => KelpsparError;
  /** Called when another operation holds the key. */
  readonly onSettled: (settlement: ClaimSettlement) => void;
}

/**
 * Enforces at-most-once execution with a claim in the table.
 *
 * The claim is written in parallel with the stage that precedes the first
 * at-most-once stage. An earlier write would widen the window in which a dying
 * daemon leaves its caller with `outcome_unknown` although nothing ran; a later
 * one would add its round trip to the latency. A read on arrival detects a key
 * that is already claimed or completed.
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
    // A request that fails before its first at-most-once stage never awaits it.
    this.#confirmed.catch(() => {});
    const isStoreUnhealthy = !options.claims.isStoreUsable();
    const earlierClaimRead = this.#readEarlierClaim(isStoreUnhealthy);
    this.#ready = isStoreUnhealthy ? earlierClaimRead : Promise.resolve();
  }

  /**
   * While the store fails, no stage starts before the store has answered: the
   * earlier stages would waste runner time on a request that is then refused.
   */
  async ready(): Promise<void> {
    await this.#ready;
    this.#options.context.abort.signal.throwIfAborted();
  }

  prepare(): void {
    if (this.#handle !== undefined || this.#isOver) return;
    const { claims, context, idempotencyKey, daemon } = this.#options;
    const stopTimeout = this.#startTimeout(CONFIRM_TIMEOUT_MILLISECONDS);
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
          stopTimeout();
          this.#isConfirmed = true;
          this.#confirm();
        },
        onSettled: (settlement) => {
          stopTimeout();
          this.#settle(settlement);
        },
      },
    });
  }

  confirmed(): Promise<void> {
    this.prepare();
    return this.#confirmed;
  }

  tryDispatch(): boolean {
    return this.#handle?.tryDispatch() ?? false;
  }

  recordNotStarted(): void {
    this.#handle?.recordNotStarted();
  }

  /** Stores the result for retries. */
  complete(result: StoredResult): void {
    this.#handle?.complete(result);
  }

  /** Ends the request without a result; no call is dispatched afterwards. */
  giveUp(): void {
    this.#isOver = true;
    this.#handle?.giveUp();
  }

  /** Discards the claim's state; no result will follow. */
  discard(): void {
    this.#handle?.discard();
  }

  /**
   * While the store fails, this read decides: the request is refused unless the
   * store answers within the timeout.
   */
  async #readEarlierClaim(isStoreUnhealthy: boolean): Promise<void> {
    const { claims, context, idempotencyKey, createStoreError } = this.#options;
    const stopTimeout = isStoreUnhealthy
      ? this.#startTimeout(UNHEALTHY_STORE_TIMEOUT_MILLISECONDS)
      : () => {};
    const found = await claims.readSettlement({
      accountId: context.account.id,
      idempotencyKey,
      bodyHash: context.bodyHash,
    });
    stopTimeout();
    if (found === "unavailable") {
      const isRefused = isStoreUnhealthy && !this.#isConfirmed;
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
   * Without this timeout an unresponsive store would block the request until
   * its deadline. The error says that nothing ran and when to retry.
   */
  #startTimeout(milliseconds: number): () => void {
    const { context, timer, createStoreError } = this.#options;
    const { abort } = context;
    const stop = timer.registerTimeout(() => {
      // A claim confirmed in the meantime needs no timeout.
      if (!this.#isConfirmed) abort.abort(createStoreError());
    }, milliseconds);
    abort.signal.addEventListener("abort", stop);
    return stop;
  }
}
