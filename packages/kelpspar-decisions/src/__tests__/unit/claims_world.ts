import type {
  ClaimAttemptEvent,
  ClaimAttemptStep,
  ClaimBatch,
  ClaimTransactionOutcome,
  FoundClaim,
  LedgerDecision,
} from "../../claims/mod.ts";
import { SeededRandom } from "kelpspar-shared";
import {
  advanceClaim,
  beginClaim,
  ClaimBatcher,
  claimKey,
  formatEpochKey,
  KeyLedger,
} from "../../claims/mod.ts";

const ACCOUNT = "t";

interface Run {
  readonly requestId: string;
  readonly key: string;
  readonly body: string;
  step: ClaimAttemptStep | undefined;
  isWaiting: boolean;
  /** True once the call of a bound key was sent. */
  isSent: boolean;
}

class Daemon {
  readonly ledger: KeyLedger;
  readonly batcher = new ClaimBatcher({ maximumRows: 4 });
  readonly runs = new Map<string, Run>();
  readonly name: string;

  constructor(name: string, now: number) {
    this.name = name;
    this.ledger = new KeyLedger({
      incarnation: name,
      startedAt: now,
      resultKeepMilliseconds: 150,
      totalBytes: 1_500,
    });
  }
}

interface Sent {
  readonly from: Daemon;
  readonly batch: ClaimBatch;
  isAwaited: boolean;
}

/** Simulates three daemons, a table and callers from one seed. */
export class World {
  readonly random: SeededRandom;
  readonly rows = new Map<string, FoundClaim>();
  readonly daemons: Daemon[];
  readonly names = ["a", "b", "c"];
  readonly executions = new Map<string, string[]>();
  readonly submissions: {
    requestId: string;
    key: string;
    body: string;
    answer: string;
  }[] = [];
  network: Sent[] = [];
  now = 0;
  faults = true;
  #next = 0;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    this.daemons = this.names.map((name) => new Daemon(name, 0));
  }

  pick<T>(items: readonly T[]): T | undefined {
    return items[this.random.nextInteger(items.length)];
  }

  submit(daemon: Daemon): void {
    const isOwn = this.random.nextInteger(2) === 0;
    const incarnation = isOwn ? daemon.name : this.pick(this.names) ?? "";
    const rest = String(this.random.nextInteger(3));
    const current = daemon.ledger.advanceEpoch(this.now);
    const epoch = Math.max(0, current - this.random.nextInteger(3));
    const bound = formatEpochKey({ incarnation, epoch, rest });
    const key = this.random.nextInteger(2) === 0 ? `order-${rest}` : bound;
    const body = this.random.nextInteger(9) === 0 ? "y" : "x";
    const requestId = `${daemon.name}-${this.#next++}`;
    const request = { account: ACCOUNT, key, bodyHash: body, requestId };
    const decision = daemon.ledger.begin(request, this.now);
    const id = decision.type === "attach" ? decision.requestId : requestId;
    const answer = ANSWERS[decision.type](decision as never);
    this.submissions.push({ requestId: id, key, body, answer });
    if (decision.type !== "run") return;
    const run = { requestId, key, body, isWaiting: false, isSent: false };
    daemon.runs.set(requestId, { ...run, step: undefined });
    if (decision.bound) return;
    const abandonedOperations = [...daemon.runs.values()]
      .filter((one) => one.key === key)
      .filter((one) => one.step?.attempt.phase === "abandoned")
      .map((one) => one.requestId);
    const step = beginClaim({
      operationId: requestId,
      daemon: daemon.name,
      requestId,
      bodyHash: body,
      abandonedOperations,
    });
    this.#follow(daemon, requestId, step);
  }

  advance(daemon: Daemon, id: string, event: ClaimAttemptEvent): void {
    const step = daemon.runs.get(id)?.step;
    if (step === undefined) return;
    this.#follow(daemon, id, advanceClaim(step.attempt, event));
  }

  #follow(daemon: Daemon, id: string, step: ClaimAttemptStep): void {
    const run = daemon.runs.get(id);
    if (run === undefined) return;
    run.step = step;
    const name = { account: ACCOUNT, key: run.key, requestId: id };
    for (const action of step.actions) {
      run.isWaiting = action.type === "resend_later";
      if (action.type === "write") {
        const key = claimKey(ACCOUNT, run.key);
        daemon.batcher.add({ ...action, key }, this.now);
      } else if (action.type === "refuse") {
        this.answer(id, action.outcome);
        if (action.outcome === "not_run") daemon.ledger.discard(name);
        else daemon.ledger.fail(name, this.now);
      } else if (action.type === "settle") {
        const { decision } = action;
        daemon.ledger.discard(name);
        const isText = decision.type === "completed" &&
          "text" in decision.result;
        this.answer(id, isText ? decision.result.text : decision.type);
      } else if (action.type === "finish") daemon.runs.delete(id);
    }
  }

  answer(requestId: string, text: string): void {
    for (const one of this.submissions) {
      if (one.requestId === requestId && one.answer === "") one.answer = text;
    }
  }

  /** Advances a random run of a daemon by a random event. */
  push(daemon: Daemon): void {
    const run = this.pick([...daemon.runs.values()]);
    if (run === undefined) return;
    const { requestId, key, body, step } = run;
    const name = { account: ACCOUNT, key, requestId };
    const phase = step?.attempt.phase ?? (run.isSent ? "dispatched" : "owned");
    const text = `${requestId}:${body}`;
    const result = { text, checksum: "", length: text.length, cost: [] };
    if (this.faults && this.random.nextInteger(6) === 0) {
      if (step !== undefined && daemon.batcher.withdraw(requestId)) {
        this.advance(daemon, requestId, { type: "unavailable" });
      }
      this.advance(daemon, requestId, { type: "give_up" });
    } else if (phase === "owned") {
      run.isSent = true;
      const ran = this.executions.get(key) ?? [];
      this.advance(daemon, requestId, { type: "dispatch" });
      if (step !== undefined && this.random.nextInteger(4) === 0) {
        this.advance(daemon, requestId, { type: "not_started" });
      } else this.executions.set(key, [...ran, requestId]);
    } else if (phase === "dispatched" || phase === "unresolved") {
      daemon.ledger.complete(name, { result, now: this.now });
      this.advance(daemon, requestId, { type: "complete", result });
      this.answer(requestId, text);
      if (step === undefined) daemon.runs.delete(requestId);
    } else if (run.isWaiting) {
      run.isWaiting = false;
      this.advance(daemon, requestId, { type: "resend" });
    }
  }

  send(daemon: Daemon): void {
    const batch = daemon.batcher.takeBatch(this.now, { wallClock: this.now });
    if (batch === undefined) return;
    this.network.push({ from: daemon, batch, isAwaited: true });
  }

  #commit({ transaction }: ClaimBatch): ClaimTransactionOutcome {
    const conflicts = transaction.writes
      .map(({ key }) => ({ key, found: this.rows.get(key) }))
      .filter(({ found }, index) =>
        transaction.writes[index]?.expectedVersion !== (found?.version ?? 0)
      )
      .map(({ key, found }) => ({
        key,
        row: found === undefined
          ? null
          : { value: found.content, version: found.version },
      }));
    if (conflicts.length > 0) return { committed: false, conflicts };
    const versions = transaction.writes.map((write) => {
      const version = write.expectedVersion + 1;
      this.rows.set(write.key, { content: write.value, version });
      return version;
    });
    return { committed: true, versions };
  }

  deliver(): void {
    const sent = this.pick(this.network);
    if (sent === undefined) return;
    const roll = this.faults ? this.random.nextInteger(10) : 9;
    const isKept = roll < 2 && this.faults;
    if (!isKept) this.network = this.network.filter((one) => one !== sent);
    const isLate = roll === 0;
    const isRefused = roll === 2 && sent.isAwaited;
    const outcome = isLate || isRefused ? "unavailable" : this.#commit(
      sent.batch,
    );
    if (!sent.isAwaited) return;
    sent.isAwaited = false;
    const told = isLate || roll === 3 ? "unknown" : outcome;
    const results = sent.from.batcher.completeBatch(sent.batch.batchId, told);
    for (const { operationId, answer } of results) {
      this.advance(sent.from, operationId, answer);
    }
  }

  crash(at: number): void {
    const dead = this.daemons[at];
    if (dead === undefined) return;
    for (const id of dead.runs.keys()) this.answer(id, "cut");
    for (const sent of this.network) {
      if (sent.from === dead) sent.isAwaited = false;
    }
    this.names.push(`${dead.name}'`);
    this.daemons[at] = new Daemon(`${dead.name}'`, this.now);
  }

  step(): void {
    this.now += this.random.nextInteger(5);
    const at = this.random.nextInteger(this.daemons.length);
    const daemon = this.daemons[at];
    if (daemon === undefined) return;
    const kind = this.random.nextInteger(this.faults ? 40 : 39);
    if (kind < 8 && this.faults) this.submit(daemon);
    else if (kind < 22) this.push(daemon);
    else if (kind < 30) this.send(daemon);
    else if (kind < 39) this.deliver();
    else this.crash(at);
  }

  check(): void {
    for (const [key, ran] of this.executions) {
      if (ran.length > 1) throw new Error(`"${key}" ran twice: ${ran}`);
    }
    for (const { key, requestId, body, answer } of this.submissions) {
      const ran = this.executions.get(key) ?? [];
      const told = `"${key}" was answered "${answer}", ran "${ran}"`;
      if (answer === "not_run" && ran.includes(requestId)) {
        throw new Error(told);
      }
      if (answer.includes(":") && answer !== `${ran[0]}:${body}`) {
        throw new Error(told);
      }
    }
  }

  /** Throws if a live daemon left a key locked after all work was done. */
  checkRows(): void {
    for (const [key, { content }] of this.rows) {
      const owner = this.daemons.find(({ name }) => name === content?.daemon);
      if (owner === undefined || content?.state !== "claimed") continue;
      if (owner.runs.has(content.operationId)) continue;
      throw new Error(`"${key}" is locked by "${content.operationId}"`);
    }
  }

  hasWork(): boolean {
    return this.network.length > 0 ||
      this.daemons.some((daemon) =>
        daemon.batcher.size > 0 ||
        [...daemon.runs.values()].some((run) =>
          run.step?.attempt.phase !== "unresolved"
        )
      );
  }
}

const ANSWERS: {
  readonly [Type in LedgerDecision["type"]]: (
    decision: Extract<LedgerDecision, { readonly type: Type }>,
  ) => string;
} = {
  run: () => "",
  attach: () => "",
  reused: () => "reused",
  refused: ({ result }) => result,
  completed: ({ result }) => "text" in result ? result.text : "",
};
