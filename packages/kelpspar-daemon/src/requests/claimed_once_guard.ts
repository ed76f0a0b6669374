import type { ClaimHandle } from "../claims/claim_handle.ts";
import type { ClaimSettlement } from "../claims/claim_listener.ts";
import type { ClaimService } from "../claims/claim_service.ts";
import type { OnceGuard } from "./once_guard.ts";
import type { KelpsparError, TimerService } from "kelpspar-shared";
import type { RequestContext } from "./request_context.ts";

const CONFIRM_LIMIT_MILLISECONDS = 800;

/** A guard that rests on a claim in the table. */
export interface ClaimedOnceGuard extends OnceGuard {
  readonly handle: ClaimHandle;
}

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
 * Starts the claim at once, beside the stages that only read, so that its
 * round trip costs the request no time unless the store is slower than they.
 */
export function createClaimedOnceGuard(
  options: ClaimedOnceGuardOptions,
): ClaimedOnceGuard {
  const { context, timer } = options;
  const { signal } = context.abort;
  // A store that does not answer would otherwise hold the request back until
  // its deadline; it is told at once that it was not run, and when to return.
  const stopWaiting = timer.registerTimeout(
    () => context.abort.abort(options.createStoreError()),
    CONFIRM_LIMIT_MILLISECONDS,
  );
  signal.addEventListener("abort", stopWaiting);
  let confirm = (): void => {};
  const confirmed = new Promise<void>((resolve, reject) => {
    confirm = resolve;
    signal.addEventListener("abort", () => reject(signal.reason));
  });
  // A request that fails before its first such stage never waits for it.
  confirmed.catch(() => {});
  const handle = options.claims.begin({
    accountId: context.account.id,
    idempotencyKey: options.idempotencyKey,
    identity: {
      operationId: context.requestId,
      daemon: options.daemon,
      requestId: context.requestId,
      bodyHash: context.bodyHash,
    },
    listener: {
      onRun: () => {
        stopWaiting();
        confirm();
      },
      onSettled: (settlement) => {
        stopWaiting();
        options.onSettled(settlement);
      },
    },
  });
  return {
    handle,
    confirmed: () => confirmed,
    dispatch: () => handle.dispatch(),
    notStarted: () => handle.notStarted(),
  };
}
