import type {
  ClaimAttempt,
  ClaimAttemptAction,
  ClaimAttemptEvent,
  ClaimContent,
  FoundClaim,
  HeldElsewhere,
  StoredResult,
} from "../../claims/mod.ts";
import {
  advanceClaim,
  beginClaim,
  decideOwnerAnswer,
} from "../../claims/mod.ts";

export interface Submission {
  readonly body: string;
  readonly daemon: number;
  readonly requestId: string;
  readonly answer: string;
}

export interface Held {
  readonly attempt: ClaimAttempt;
  readonly isWaiting: boolean;
}

export interface Sent {
  readonly from: string;
  readonly content: ClaimContent;
  readonly expectedVersion: number;
  /** False once its sender no longer waits for the answer. */
  readonly isAwaited: boolean;
  /** Answer in transit, once the write arrived. */
  readonly answer?: ClaimAttemptEvent;
}

export interface Daemon {
  readonly name: string;
  readonly begun: number;
  readonly held: readonly Held[];
}

/** State of two daemons, one key, the table's row and the network. */
export interface Model {
  readonly row: FoundClaim | null;
  readonly network: readonly Sent[];
  readonly daemons: readonly Daemon[];
  readonly submissions: readonly Submission[];
  readonly executions: readonly string[];
  readonly submit: number;
  readonly lose: number;
  readonly crash: number;
  readonly refuse: number;
}

function textOf(result: StoredResult): string {
  return "text" in result ? result.text : "";
}

function replaceAt<T>(list: readonly T[], index: number, item: T): T[] {
  return list.map((old, at) => at === index ? item : old);
}

function answer(model: Model, requestId: string, text: string): Model {
  const submissions = model.submissions.map((one) =>
    one.requestId === requestId && one.answer === ""
      ? { ...one, answer: text }
      : one
  );
  return { ...model, submissions };
}

function find(model: Model, operationId: string): readonly [number, number] {
  const has = ({ attempt }: Held): boolean =>
    attempt.identity.operationId === operationId;
  const at = model.daemons.findIndex(({ held }) => held.some(has));
  return [at, model.daemons[at]?.held.findIndex(has) ?? -1];
}

/** Queries the holder of a claim, as through the peer port. */
function askOwner(model: Model, held: HeldElsewhere): string {
  const [at, index] = find(model, held.operationId);
  const owner = model.daemons[at]?.held[index]?.attempt;
  const { operationId } = held;
  const decision = owner === undefined
    ? decideOwnerAnswer(held, { type: "silent" })
    : owner.result === undefined
    ? decideOwnerAnswer(held, { type: "running", operationId })
    : decideOwnerAnswer(held, {
      type: "completed",
      operationId,
      result: owner.result,
    });
  const { type } = decision;
  return type === "completed" ? textOf(decision.result) : type;
}

function settle(
  model: Model,
  decision: Extract<ClaimAttemptAction, { readonly type: "settle" }>[
    "decision"
  ],
): string {
  if (decision.type === "held_elsewhere") return askOwner(model, decision);
  const { type } = decision;
  return type === "completed" ? textOf(decision.result) : type;
}

function act(
  model: Model,
  action: ClaimAttemptAction,
  attempt: ClaimAttempt,
): Model {
  const { requestId, operationId, daemon } = attempt.identity;
  if (action.type === "write") {
    const { content, expectedVersion } = action;
    const sent = { from: daemon, content, expectedVersion, isAwaited: true };
    return { ...model, network: [...model.network, sent] };
  }
  if (action.type === "refuse") return answer(model, requestId, action.outcome);
  if (action.type === "settle") {
    return answer(model, requestId, settle(model, action.decision));
  }
  if (action.type !== "finish" || attempt.phase === "done") return model;
  const [at] = find(model, operationId);
  const owner = model.daemons[at];
  if (owner === undefined) return model;
  const held = owner.held.filter((one) => one.attempt !== attempt);
  return {
    ...model,
    daemons: replaceAt(model.daemons, at, { ...owner, held }),
  };
}

function advance(
  model: Model,
  operationId: string,
  event: ClaimAttemptEvent,
): Model {
  const [at, index] = find(model, operationId);
  const daemon = model.daemons[at];
  const old = daemon?.held[index];
  if (daemon === undefined || old === undefined) return model;
  const { attempt, actions } = advanceClaim(old.attempt, event);
  const isWaiting = actions.some(({ type }) => type === "resend_later");
  const held = replaceAt(daemon.held, index, { attempt, isWaiting });
  const daemons = replaceAt(model.daemons, at, { ...daemon, held });
  const next: Model = { ...model, daemons };
  return actions.reduce((state, action) => act(state, action, attempt), next);
}

function submit(model: Model, at: number, body: string): Model {
  const daemon = model.daemons[at];
  if (daemon === undefined) return model;
  const attempts = daemon.held.map(({ attempt }) => attempt);
  const own = attempts.find(({ phase }) => phase !== "abandoned");
  const requestId = own?.identity.requestId ?? `${daemon.name}${daemon.begun}`;
  const knownAnswer = own === undefined
    ? ""
    : own.identity.bodyHash !== body
    ? "reused"
    : own.phase === "unresolved"
    ? "outcome_unknown"
    : own.result === undefined
    ? ""
    : textOf(own.result);
  const submission = { body, daemon: at, requestId, answer: knownAnswer };
  const submissions = [...model.submissions, submission];
  const next = { ...model, submissions, submit: model.submit - 1 };
  if (own !== undefined) return next;
  const { attempt, actions } = beginClaim({
    operationId: requestId,
    daemon: daemon.name,
    requestId,
    bodyHash: body,
    abandonedOperations: attempts.map(({ identity }) => identity.operationId),
  });
  const held = [...daemon.held, { attempt, isWaiting: false }];
  const begun = daemon.begun + 1;
  const daemons = replaceAt(model.daemons, at, { ...daemon, begun, held });
  return actions.reduce<Model>(
    (state, action) => act(state, action, attempt),
    { ...next, daemons },
  );
}

function crash(model: Model, at: number, name: string): Model {
  const submissions = model.submissions.map((one) =>
    one.daemon === at && one.answer === "" ? { ...one, answer: "cut" } : one
  );
  const network = model.network
    .filter((sent) => sent.from !== name || sent.answer === undefined)
    .map((sent) => sent.from === name ? { ...sent, isAwaited: false } : sent);
  const daemons = replaceAt(model.daemons, at, {
    name: `${name}'`,
    begun: 0,
    held: [],
  });
  return { ...model, submissions, network, daemons, crash: model.crash - 1 };
}

function deliver(
  model: Model,
  sent: Sent,
): readonly [Model, ClaimAttemptEvent] {
  const version = model.row?.version ?? 0;
  if (version !== sent.expectedVersion) {
    return [model, { type: "conflict", found: model.row }];
  }
  const row = { content: sent.content, version: version + 1 };
  return [{ ...model, row }, { type: "committed", version: version + 1 }];
}

function* networkMoves(model: Model): Generator<Model> {
  for (const [index, sent] of model.network.entries()) {
    const { content: { operationId }, answer, isAwaited } = sent;
    const others = model.network.filter((_, at) => at !== index);
    const withoutWrite = { ...model, network: others };
    const late = { ...sent, isAwaited: false };
    if (answer !== undefined) yield advance(withoutWrite, operationId, answer);
    else {
      const [arrived, event] = deliver(withoutWrite, sent);
      const told = isAwaited ? [{ ...sent, answer: event }] : [];
      yield { ...arrived, network: [...others, ...told] };
      // The same write may arrive a second time.
      yield { ...arrived, network: [...others, ...told, late] };
    }
    if (!isAwaited) continue;
    if (model.refuse > 0 && answer === undefined) {
      const left = { ...withoutWrite, refuse: model.refuse - 1 };
      yield advance(left, operationId, { type: "unavailable" });
    }
    if (model.lose === 0) continue;
    const network = answer === undefined ? [...others, late] : others;
    const lost = { ...model, network, lose: model.lose - 1 };
    yield advance(lost, operationId, { type: "unknown" });
  }
}

const CAN_GIVE_UP = ["pending", "unknown", "owned", "dispatched"];

function* attemptMoves(model: Model, held: Held): Generator<Model> {
  const { phase, identity } = held.attempt;
  const { requestId, operationId, bodyHash } = identity;
  if (held.isWaiting) yield advance(model, operationId, { type: "resend" });
  if (CAN_GIVE_UP.includes(phase)) {
    yield advance(model, operationId, { type: "give_up" });
  }
  if (phase === "owned") {
    const sent = advance(model, operationId, { type: "dispatch" });
    yield { ...sent, executions: [...model.executions, requestId] };
    yield advance(sent, operationId, { type: "not_started" });
  }
  if (phase === "dispatched") {
    const again = advance(model, operationId, { type: "dispatch" });
    yield advance(again, operationId, { type: "not_started" });
  }
  if (phase === "dispatched" || phase === "unresolved") {
    const text = `${requestId}:${bodyHash}`;
    const result = { text, checksum: "", length: text.length, cost: [] };
    const done = advance(model, operationId, { type: "complete", result });
    yield answer(done, requestId, text);
  }
}

/** All states reachable in one step. */
export function* moves(model: Model): Generator<Model> {
  yield* networkMoves(model);
  for (const [at, { held, name }] of model.daemons.entries()) {
    for (const one of held) yield* attemptMoves(model, one);
    if (held.length > 0 && model.crash > 0) yield crash(model, at, name);
    const isFirst = model.submissions.length === 0;
    if (model.submit === 0 || (isFirst && at > 0)) continue;
    yield submit(model, at, "x");
    if (model.submit === 1) yield submit(model, at, "y");
  }
}
