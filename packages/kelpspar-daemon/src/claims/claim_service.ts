import type {
  ClaimAttempt,
  ClaimAttemptAction,
  ClaimAttemptEvent,
  ClaimAttemptStep,
  ClaimBatch,
  ClaimDecision,
  ClaimIdentity,
  ClaimTransactionOutcome,
  OwnerAnswer,
} from "kelpspar-decisions/claims";
import type { TableService } from "kelpspar-backends";
import type { RandomSource, TimerService } from "kelpspar-shared";
import type { DaemonLog } from "../log/daemon_log.ts";
import type { ClaimHandle } from "./claim_handle.ts";
import type { ClaimListener, ClaimSettlement } from "./claim_listener.ts";
import {
  advanceClaim,
  beginClaim,
  ClaimBatcher,
  claimKey,
  CLAIMS_TABLE,
  decideClaim,
  parseClaimContent,
} from "kelpspar-decisions/claims";
import { toKelpsparError } from "kelpspar-shared";
import { errorDetails } from "../log/daemon_log.ts";
import { StoreHealth } from "./store_health.ts";

const RESEND_MILLISECONDS = 60;
const RESEND_LIMIT_MILLISECONDS = 2_000;
const PROBE_MILLISECONDS = 400;

/** What claims are kept in and how. */
export interface ClaimServiceOptions {
  readonly table: TableService;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: DaemonLog;
  /** How long a claim waits for others to share its write, milliseconds. */
  readonly lingerMilliseconds: number;
}

/** A claim to make. */
export interface ClaimBeginning {
  readonly accountId: string;
  readonly idempotencyKey: string;
  readonly identity: ClaimIdentity;
  readonly listener: ClaimListener;
}

function isSettlement(decision: ClaimDecision): decision is ClaimSettlement {
  return decision.type !== "claim" && decision.type !== "owned" &&
    decision.type !== "abandoned";
}

interface ClaimEntry {
  readonly key: string;
  readonly listener: ClaimListener;
  attempt: ClaimAttempt;
  resends: number;
}

/**
 * Makes and ends the claims of this daemon's requests, in batches. All
 * decisions are those of kelpspar-decisions; here they meet the table.
 */
export class ClaimService {
  readonly #options: ClaimServiceOptions;
  readonly #batcher: ClaimBatcher;
  readonly #health = new StoreHealth();
  readonly #entries = new Map<string, ClaimEntry>();
  #isClosed = false;
  #isProbing = false;
  #stopFlushTimer = (): void => {};

  constructor(options: ClaimServiceOptions) {
    this.#options = options;
    this.#batcher = new ClaimBatcher({
      lingerMilliseconds: options.lingerMilliseconds,
    });
  }

  /** Claims whose last write is not settled yet. */
  get open(): number {
    return this.#entries.size;
  }

  /** Writes no more; what is not written yet never is. */
  close(): void {
    this.#isClosed = true;
    this.#stopFlushTimer();
  }

  /** False while the table fails; a claim made now would most likely fail. */
  isStoreUsable(): boolean {
    return this.#health.isUsable;
  }

  /** Starts a claim. Its listener is told what becomes of it. */
  begin(beginning: ClaimBeginning): ClaimHandle {
    const { operationId } = beginning.identity;
    const first = beginClaim(beginning.identity);
    const entry: ClaimEntry = {
      key: claimKey(beginning.accountId, beginning.idempotencyKey),
      listener: beginning.listener,
      attempt: first.attempt,
      resends: 0,
    };
    this.#entries.set(operationId, entry);
    this.#follow(entry, first);
    return {
      dispatch: () => this.#dispatch(entry),
      notStarted: () => this.#advance(entry, { type: "not_started" }),
      complete: (result) => this.#advance(entry, { type: "complete", result }),
      giveUp: () => this.#advance(entry, { type: "give_up" }),
      forget: () => {
        if (entry.attempt.phase !== "unresolved") return;
        this.#entries.delete(operationId);
      },
    };
  }

  /**
   * Reads whether another operation holds a key or has completed it, before a
   * claim is made; undefined when not.
   */
  async lookAhead(asked: {
    readonly accountId: string;
    readonly idempotencyKey: string;
    readonly bodyHash: string;
  }): Promise<ClaimSettlement | "unavailable" | undefined> {
    const key = claimKey(asked.accountId, asked.idempotencyKey);
    try {
      const rows = await this.#options.table.read([{
        table: CLAIMS_TABLE,
        key,
      }]);
      const [row = null] = rows;
      if (row === null) return undefined;
      const content = parseClaimContent(row.value);
      const decision = decideClaim({ content, version: row.version }, {
        operationId: "",
        daemon: "",
        requestId: "",
        bodyHash: asked.bodyHash,
      });
      return isSettlement(decision) ? decision : undefined;
    } catch {
      return "unavailable";
    }
  }

  /** What this daemon says of an operation when another one asks. */
  describe(operationId: string): OwnerAnswer {
    const phase = this.#entries.get(operationId)?.attempt.phase;
    const runs = phase === "owned" || phase === "dispatched" ||
      phase === "completing" || phase === "pending" || phase === "unknown";
    return runs ? { type: "running", operationId } : { type: "silent" };
  }

  #dispatch(entry: ClaimEntry): boolean {
    const { phase } = entry.attempt;
    if (phase !== "owned" && phase !== "dispatched") return false;
    this.#advance(entry, { type: "dispatch" });
    return true;
  }

  #advance(entry: ClaimEntry, event: ClaimAttemptEvent): void {
    this.#follow(entry, advanceClaim(entry.attempt, event));
  }

  #follow(entry: ClaimEntry, step: ClaimAttemptStep): void {
    entry.attempt = step.attempt;
    for (const action of step.actions) {
      this.#actions[action.type](entry, action as never);
    }
  }

  readonly #actions: {
    readonly [Type in ClaimAttemptAction["type"]]: (
      entry: ClaimEntry,
      action: Extract<ClaimAttemptAction, { readonly type: Type }>,
    ) => void;
  } = {
    write: (entry, { kind, content, expectedVersion }) => {
      this.#batcher.add(
        { kind, key: entry.key, content, expectedVersion },
        this.#options.timer.now(),
      );
      this.#scheduleFlush();
    },
    resend_later: (entry) => this.#resendLater(entry),
    run: (entry) => entry.listener.onRun(),
    settle: (entry, { decision }) => entry.listener.onSettled(decision),
    // The caller is answered by the request itself, which gave up or was
    // settled; the attempt only agrees with it.
    refuse: () => {},
    finish: (entry) => {
      this.#entries.delete(entry.attempt.identity.operationId);
    },
  };

  #resendLater(entry: ClaimEntry): void {
    if (this.#isClosed) return;
    const { timer, random } = this.#options;
    const ceiling = Math.min(
      RESEND_LIMIT_MILLISECONDS,
      RESEND_MILLISECONDS * 2 ** Math.min(entry.resends++, 10),
    );
    // Full jitter, so that a store that comes back does not meet every
    // daemon's claims at one moment.
    const wait = ceiling * (0.5 + random.next() / 2);
    timer.registerTimeout(
      () => this.#advance(entry, { type: "resend" }),
      wait,
    );
  }

  #scheduleFlush(): void {
    this.#stopFlushTimer();
    if (this.#isClosed) return;
    const dueAt = this.#batcher.dueAt();
    if (dueAt === undefined) return;
    const { timer } = this.#options;
    const wait = Math.max(0, dueAt - timer.now());
    this.#stopFlushTimer = timer.registerTimeout(() => this.#flush(), wait);
  }

  #flush(): void {
    const { timer } = this.#options;
    for (;;) {
      const batch = this.#batcher.takeBatch(timer.now(), {
        wallClock: timer.wallClock(),
      });
      if (batch === undefined) break;
      void this.#commit(batch);
    }
    this.#scheduleFlush();
  }

  async #commit(batch: ClaimBatch): Promise<void> {
    const outcome = await this.#write(batch);
    for (
      const { operationId, answer } of this.#batcher.completeBatch(
        batch.batchId,
        outcome,
      )
    ) {
      const entry = this.#entries.get(operationId);
      if (entry !== undefined) this.#advance(entry, answer);
    }
    this.#scheduleFlush();
  }

  /**
   * Asks the table by reads of the daemon's own while it is down. Were the
   * next caller's request the probe, that caller would pay for it.
   */
  #probeWhileDown(): void {
    if (this.#isClosed || this.#isProbing || this.#health.isUsable) return;
    this.#isProbing = true;
    const { table, timer, random } = this.#options;
    const wait = PROBE_MILLISECONDS * (0.5 + random.next());
    timer.registerTimeout(() => {
      table.read([{ table: CLAIMS_TABLE, key: "probe" }]).then(
        () => this.#health.succeed(),
        () => {},
      ).finally(() => {
        this.#isProbing = false;
        this.#probeWhileDown();
      });
    }, wait);
  }

  async #write(batch: ClaimBatch): Promise<ClaimTransactionOutcome> {
    try {
      const answer = await this.#options.table.commit(batch.transaction);
      this.#health.succeed();
      return answer;
    } catch (thrown) {
      this.#health.fail();
      this.#probeWhileDown();
      const error = toKelpsparError(thrown, "write_unknown");
      this.#options.log.warn("Claims not written", errorDetails(error));
      // Only the table's own word proves that nothing was written.
      return error.result === "table_unavailable" ? "unavailable" : "unknown";
    }
  }
}
