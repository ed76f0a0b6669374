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

const RESEND_BASE_MILLISECONDS = 60;
const RESEND_MAXIMUM_MILLISECONDS = 2_000;
const PROBE_INTERVAL_MILLISECONDS = 400;

/** Options of `ClaimService`. */
export interface ClaimServiceOptions {
  readonly table: TableService;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: DaemonLog;
  /** Linger time for batching claims into one write, milliseconds. */
  readonly lingerMilliseconds: number;
}

/** A claim to write. */
export interface NewClaim {
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
 * Writes and ends the claims of this daemon's requests, in batches. The logic is
 * in kelpspar-decisions; this class executes its decisions against the table.
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

  /** Number of claims whose last write is not settled. */
  get open(): number {
    return this.#entries.size;
  }

  /** Stops all writes and drops those still pending. */
  close(): void {
    this.#isClosed = true;
    this.#stopFlushTimer();
  }

  /** False while the table fails; a new claim would probably fail too. */
  isStoreUsable(): boolean {
    return this.#health.isUsable;
  }

  /** Starts a claim and reports its outcome to its listener. */
  begin(claim: NewClaim): ClaimHandle {
    const { operationId } = claim.identity;
    const first = beginClaim(claim.identity);
    const entry: ClaimEntry = {
      key: claimKey(claim.accountId, claim.idempotencyKey),
      listener: claim.listener,
      attempt: first.attempt,
      resends: 0,
    };
    this.#entries.set(operationId, entry);
    this.#applyStep(entry, first);
    return {
      tryDispatch: () => this.#dispatch(entry),
      recordNotStarted: () => this.#advance(entry, { type: "not_started" }),
      complete: (result) => this.#advance(entry, { type: "complete", result }),
      giveUp: () => this.#advance(entry, { type: "give_up" }),
      discard: () => {
        if (entry.attempt.phase !== "unresolved") return;
        this.#entries.delete(operationId);
      },
    };
  }

  /**
   * Reads whether another operation holds or has completed a key, before a
   * claim is written; undefined when neither.
   */
  async readSettlement(query: {
    readonly accountId: string;
    readonly idempotencyKey: string;
    readonly bodyHash: string;
  }): Promise<ClaimSettlement | "unavailable" | undefined> {
    const key = claimKey(query.accountId, query.idempotencyKey);
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
        bodyHash: query.bodyHash,
      });
      return isSettlement(decision) ? decision : undefined;
    } catch {
      return "unavailable";
    }
  }

  /** Answers another daemon's query about an operation. */
  describeOperation(operationId: string): OwnerAnswer {
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
    this.#applyStep(entry, advanceClaim(entry.attempt, event));
  }

  #applyStep(entry: ClaimEntry, step: ClaimAttemptStep): void {
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
    // The request that gave up or was settled answers its caller itself.
    refuse: () => {},
    finish: (entry) => {
      this.#entries.delete(entry.attempt.identity.operationId);
    },
  };

  #resendLater(entry: ClaimEntry): void {
    if (this.#isClosed) return;
    const { timer, random } = this.#options;
    const ceiling = Math.min(
      RESEND_MAXIMUM_MILLISECONDS,
      RESEND_BASE_MILLISECONDS * 2 ** Math.min(entry.resends++, 10),
    );
    // Jitter, so that a recovering store doesn't receive the claims of all
    // daemons at once.
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
   * Probes the table with dedicated reads while it is down, so that no
   * caller's request serves as the probe and waits for its timeout.
   */
  #probeWhileDown(): void {
    if (this.#isClosed || this.#isProbing || this.#health.isUsable) return;
    this.#isProbing = true;
    const { table, timer, random } = this.#options;
    const wait = PROBE_INTERVAL_MILLISECONDS * (0.5 + random.next());
    timer.registerTimeout(() => {
      table.read([{ table: CLAIMS_TABLE, key: "probe" }]).then(
        () => this.#health.recordSuccess(),
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
      this.#health.recordSuccess();
      return answer;
    } catch (thrown) {
      this.#health.recordFailure();
      this.#probeWhileDown();
      const error = toKelpsparError(thrown, "write_unknown");
      this.#options.log.warn("failed to write claims", errorDetails(error));
      // Only an explicit answer of the table proves that nothing was written.
      return error.result === "table_unavailable" ? "unavailable" : "unknown";
    }
  }
}
