import type {
  KeyLedger,
  LedgerDecision,
  LedgerRun,
  StoredResult,
} from "kelpspar-decisions/claims";
import type { TimerService } from "kelpspar-shared";
import type { RequestContext } from "./request_context.ts";

/** How a request's run ended, as its key's memory sees it. */
export type RunEnding =
  | { readonly type: "completed"; readonly result: StoredResult }
  /** Nothing ran, or what ran may run again: the key is free. */
  | { readonly type: "repeatable" }
  | { readonly type: "outcome_unknown" };

/** The idempotency keys of this daemon's requests. */
export class RequestKeys {
  readonly #ledger: KeyLedger;
  readonly #timer: TimerService;

  constructor(options: {
    readonly ledger: KeyLedger;
    readonly timer: TimerService;
  }) {
    this.#ledger = options.ledger;
    this.#timer = options.timer;
  }

  /** Undefined for a request without a key. */
  begin(context: RequestContext): LedgerDecision | undefined {
    const run = runOf(context);
    if (run === undefined) return undefined;
    return this.#ledger.begin(
      { ...run, bodyHash: context.bodyHash },
      this.#timer.now(),
    );
  }

  /**
   * What is known of a request's key already, without starting anything;
   * undefined when nothing is. Asked before any refusal, so that a retry finds
   * its result even at a daemon that takes no new requests.
   */
  find(
    context: RequestContext,
  ): Exclude<LedgerDecision, { readonly type: "run" }> | undefined {
    const run = runOf(context);
    if (run === undefined) return undefined;
    const now = this.#timer.now();
    if (this.#ledger.lookUp(run, now) === undefined) return undefined;
    const decision = this.#ledger.begin(
      { ...run, bodyHash: context.bodyHash },
      now,
    );
    if (decision.type !== "run") return decision;
    this.#ledger.discard(run);
    return undefined;
  }

  /** What is known of a key, for a look-up. */
  lookUp(
    accountId: string,
    key: string,
  ): ReturnType<KeyLedger["lookUp"]> {
    return this.#ledger.lookUp({ account: accountId, key }, this.#timer.now());
  }

  end(context: RequestContext, ending: RunEnding): void {
    const run = runOf(context);
    if (run === undefined) return;
    const now = this.#timer.now();
    if (ending.type === "completed") {
      this.#ledger.complete(run, { result: ending.result, now });
    } else if (ending.type === "outcome_unknown") {
      this.#ledger.fail(run, now);
    } else {
      this.#ledger.discard(run);
    }
  }
}

function runOf(context: RequestContext): LedgerRun | undefined {
  const key = context.request.idempotencyKey;
  if (key === undefined) return undefined;
  return { account: context.account.id, key, requestId: context.requestId };
}
