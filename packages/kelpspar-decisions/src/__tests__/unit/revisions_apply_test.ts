import type {
  ApplyAttempt,
  ApplyEvent,
  ApplyOutcome,
  ApplyStep,
  ApplyTransactionAnswer,
  ApplyWrite,
  RevisionRow,
} from "../../revisions/mod.ts";
import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { SeededRandom } from "kelpspar-shared";
import {
  advanceApply,
  beginApply,
  CURRENT_REVISION_KEY,
  findAcceptedChange,
  parseRevisionRow,
  toApplyEvent,
  toFoundRevision,
} from "../../revisions/mod.ts";

// Guards against an operator who is told that a change failed although it is in
// force, two operators who are both told that theirs is in force, and a change
// that is accepted twice. Operators race; their writes lose their answer,
// arrive late, twice or after a competing one, and unconfirmed changes are
// retried. Possible cause: a lost answer treated as a failure or as a success.

const RUNS = 3_000;
const STEPS = 80;

interface Operator {
  readonly changeId: string;
  step: ApplyStep;
  /** The next event, unless the operator waits for an answer. */
  due: ApplyEvent | undefined;
}

interface Sent {
  readonly from: Operator;
  readonly writes: readonly ApplyWrite[];
  isAwaited: boolean;
}

class World {
  readonly random: SeededRandom;
  readonly rows = new Map<string, { value: unknown; version: number }>();
  /** Reference model: the accepted revisions in order. */
  readonly accepted: RevisionRow[] = [];
  readonly outcomes: { changeId: string; outcome: ApplyOutcome }[] = [];
  operators: Operator[] = [];
  network: Sent[] = [];
  faults = true;
  #next = 0;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
  }

  /** Starts a new change, or retries one whose outcome is unconfirmed. */
  begin(): void {
    const running = this.operators.map((operator) => operator.changeId);
    const open = this.outcomes.findLast(({ changeId, outcome }) =>
      outcome.type === "unconfirmed" && !running.includes(changeId)
    );
    const isRetry = open !== undefined && this.random.nextInteger(2) === 0;
    const changeId = isRetry ? open.changeId : `change${this.#next++}`;
    const current = toFoundRevision(
      this.rows.get(CURRENT_REVISION_KEY) ?? null,
    );
    const history = isRetry ? { history: [...this.accepted] } : {};
    const base = { current, ...history };
    const step = beginApply({ changeId, fields: {} }, base);
    const operator = { changeId, step, due: undefined };
    this.operators.push(operator);
    this.#follow(operator, step);
  }

  #follow(operator: Operator, step: ApplyStep): void {
    operator.step = step;
    operator.due = undefined;
    for (const action of step.actions) {
      if (action.type === "commit") {
        const { writes } = action;
        this.network.push({ from: operator, writes, isAwaited: true });
      } else if (action.type === "read") {
        const found = toFoundRevision(this.rows.get(action.key) ?? null);
        operator.due = { type: "history", found };
      } else if (action.type === "resend_later") {
        operator.due = { type: "resend" };
      } else {
        const { changeId } = operator;
        this.outcomes.push({ changeId, outcome: action.outcome });
        this.operators = this.operators.filter((one) => one !== operator);
      }
    }
  }

  #commit(writes: readonly ApplyWrite[]): ApplyTransactionAnswer {
    const conflicts = writes
      .filter(({ key, expectedVersion }) =>
        (this.rows.get(key)?.version ?? 0) !== expectedVersion
      )
      .map(({ key }) => ({ key, row: this.rows.get(key) ?? null }));
    // Some table services report only the first conflicting row.
    if (conflicts.length > 0 && this.random.nextInteger(2) === 0) {
      return { committed: false, conflicts: conflicts.slice(0, 1) };
    }
    if (conflicts.length > 0) return { committed: false, conflicts };
    for (const { key, value, expectedVersion } of writes) {
      this.rows.set(key, { value, version: expectedVersion + 1 });
    }
    const row = parseRevisionRow(writes[0]?.value);
    if (row !== undefined) this.accepted.push(row);
    return { committed: true };
  }

  #tell(operator: Operator, answer: ApplyEvent): void {
    if (!this.operators.includes(operator)) return;
    this.#follow(operator, advanceApply(operator.step.attempt, answer));
  }

  deliver(): void {
    const sent = this.network[this.random.nextInteger(this.network.length)];
    if (sent === undefined) return;
    const roll = this.faults ? this.random.nextInteger(6) : 5;
    if (roll > 1) this.network = this.network.filter((one) => one !== sent);
    const isKept = roll === 0;
    const isRefused = roll === 2 && sent.isAwaited;
    const answer = isKept || isRefused ? undefined : this.#commit(sent.writes);
    if (!sent.isAwaited) return;
    sent.isAwaited = false;
    if (isRefused) return this.#tell(sent.from, { type: "unavailable" });
    if (answer === undefined || roll === 3) {
      return this.#tell(sent.from, { type: "unknown" });
    }
    this.#tell(sent.from, toApplyEvent(sent.from.step.attempt, answer));
  }

  push(): void {
    const index = this.random.nextInteger(this.operators.length);
    const operator = this.operators[index];
    if (operator === undefined) return;
    const { due } = operator;
    if (this.faults && this.random.nextInteger(3) === 0) {
      this.#tell(operator, { type: "give_up" });
    } else if (due?.type === "history" && this.random.nextInteger(3) === 0) {
      this.#tell(operator, { type: "unavailable" });
    } else if (due !== undefined) this.#tell(operator, due);
  }

  step(): void {
    const kind = this.random.nextInteger(this.faults ? 6 : 5);
    if (kind === 5) this.begin();
    else if (kind < 3) this.deliver();
    else this.push();
  }

  check(): void {
    this.accepted.forEach(({ revision }, index) =>
      expect(revision).toEqual(index + 1)
    );
    const ids = this.accepted.map(({ changeId }) => changeId);
    expect(new Set(ids).size).toEqual(ids.length);
    const settled = new Map<string, ApplyOutcome>();
    for (const { changeId, outcome } of this.outcomes) {
      const revision = findAcceptedChange(this.accepted, changeId);
      if (outcome.type === "accepted") {
        expect(revision).toEqual(outcome.revision);
      } else if (outcome.type === "conflict") {
        expect(outcome.revision <= this.accepted.length).toEqual(true);
      }
      settled.set(changeId, outcome);
    }
    // The last outcome of a change counts: an earlier attempt may have been
    // left unconfirmed.
    for (const [changeId, { type }] of settled) {
      if (type !== "conflict" && type !== "not_written") continue;
      expect(findAcceptedChange(this.accepted, changeId)).toEqual(undefined);
    }
  }
}

test("operators receive outcomes that match the accepted revisions", (t) => {
  const counts = new Map<string, number>();
  fc.assert(
    fc.property(fc.integer(), (seed) => {
      const world = new World(seed);
      for (let step = 0; step < STEPS; step++) world.step();
      world.faults = false;
      const hasWork = (): boolean =>
        world.operators.length + world.network.length > 0;
      for (let step = 0; hasWork() && step < 2_000; step++) world.step();
      expect(hasWork()).toEqual(false);
      world.check();
      for (const { outcome } of world.outcomes) {
        counts.set(outcome.type, (counts.get(outcome.type) ?? 0) + 1);
      }
    }),
    { numRuns: RUNS, seed: 21 },
  );
  t.diagnostic(JSON.stringify(Object.fromEntries(counts)));
  expect([...counts.keys()].sort()).toEqual(
    ["accepted", "conflict", "not_written", "unconfirmed"],
  );
});

test("a change based on another revision is refused", () => {
  const change = { changeId: "b", fields: {}, expectedRevision: 3 };
  const current = { row: { revision: 4, changeId: "a" }, version: 9 };
  const { attempt, actions } = beginApply(change, { current });
  const finished: ApplyAttempt["phase"] = "finished";
  expect(attempt.phase).toEqual(finished);
  const outcome = { type: "conflict", revision: 4 } as const;
  expect(actions).toEqual([{ type: "finish", outcome }]);
});
