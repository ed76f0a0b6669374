import type {
  KeyLedger,
  LedgerDecision,
  LedgerRun,
  StoredResult,
} from "kelpspar-decisions/claims";
import type { TimerService } from "kelpspar-shared";
import type { RequestContext } from "./request_context.ts";

/** How a request's run ended, as recorded for its idempotency key. */
export type RunOutcome =
  | { readonly type: "completed"; readonly result: StoredResult }
  /** Nothing ran, or all that ran is repeatable: the key is released. */
  | { readonly type: "repeatable" }
  | { readonly type: "outcome_unknown" };

/** Tracks the idempotency keys of this daemon's requests. */
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

  /** Registers a run of the request; undefined for one without a key. */
  begin(context: RequestContext): LedgerDecision | undefined {
    const run = ledgerRunOf(context);
    if (run === undefined) return undefined;
    return this.#ledger.begin(
      { ...run, bodyHash: context.bodyHash },
      this.#timer.now(),
    );
  }

  /**
   * Returns the recorded state of a request's key without starting a run;
   * undefined without a record. Runs before admission control, so that a retry
   * finds its result even on a daemon that accepts no new requests.
   */
  find(
    context: RequestContext,
  ): Exclude<LedgerDecision, { readonly type: "run" }> | undefined {
    const run = ledgerRunOf(context);
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

  /** Returns the recorded state of a key, for a look-up. */
  lookUp(
    accountId: string,
    key: string,
  ): ReturnType<KeyLedger["lookUp"]> {
    return this.#ledger.lookUp({ account: accountId, key }, this.#timer.now());
  }

  end(context: RequestContext, outcome: RunOutcome): void {
    const run = ledgerRunOf(context);
    if (run === undefined) return;
    const now = this.#timer.now();
    if (outcome.type === "completed") {
      this.#ledger.complete(run, { result: outcome.result, now });
    } else if (outcome.type === "outcome_unknown") {
      this.#ledger.fail(run, now);
    } else {
      this.#ledger.discard(run);
    }
  }
}

function ledgerRunOf(context: RequestContext): LedgerRun | undefined {
  const key = context.request.idempotencyKey;
  if (key === undefined) return undefined;
  return { account: context.account.id, key, requestId: context.requestId };
}
