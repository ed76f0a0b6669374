import type { Daemon, Model, Sent, Submission } from "./claims_model.ts";

/** Returns the violated guarantee, if any. */
export function faultOf(model: Model): string | undefined {
  if (model.executions.length > 1) return "ran twice";
  for (const { requestId, answer, body } of model.submissions) {
    const ran = model.executions.includes(requestId);
    if (answer === "not_run" && ran) return "false not_run";
    if (!answer.includes(":")) continue;
    if (answer !== `${model.executions[0]}:${body}`) return "foreign result";
  }
  return findLostClaim(model);
}

/** A live daemon must not leave a key locked or its result unstored. */
function findLostClaim({ row, network, daemons }: Model): string | undefined {
  const content = row?.content;
  const isHeld = daemons.some(({ held }) =>
    held.some(({ attempt }) =>
      attempt.identity.operationId === content?.operationId
    )
  );
  const isAlive = daemons.some(({ name }) => name === content?.daemon);
  const isLocked = content?.state === "claimed" && isAlive && !isHeld;
  if (isLocked && network.length === 0) return "locked key";
  const isDone = daemons.some(({ held }) =>
    held.some(({ attempt }) => attempt.phase === "done")
  );
  return isDone && content?.state !== "done" ? "result not stored" : undefined;
}

/**
 * Describes every field that can differ; a request and its operation share an
 * id.
 */
function describeDaemon({ name, begun, held }: Daemon): string {
  const attempts = held.map(({ attempt, isWaiting }) => {
    const { phase, baseVersion, version, writing, identity } = attempt;
    const { operationId, bodyHash, abandonedOperations } = identity;
    const rest = [attempt.unprovedCalls, attempt.mayHaveWritten, isWaiting];
    return `${operationId} ${bodyHash} ${abandonedOperations} ${phase} ${baseVersion} ${version} ${writing} ${rest}`;
  });
  return `${name} ${begun} ${attempts}`;
}

function describeSent(sent: Sent): string {
  const { state, operationId, bodyHash } = sent.content;
  const { answer } = sent;
  const found = answer?.type === "conflict" ? answer.found : null;
  const told = [answer?.type, found?.content?.state, found?.version];
  return `${state} ${operationId} ${bodyHash} ${sent.expectedVersion} ${sent.isAwaited} ${told} ${found?.content?.operationId}`;
}

function describeSubmissions(submissions: readonly Submission[]): string {
  return submissions.map((one) => `${one.body} ${one.requestId} ${one.answer}`)
    .join();
}

/** Assigns equal parts the same number; many models share parts. */
function createNumbering<T extends object>(
  describePart: (part: T) => string,
): (part: T) => number {
  const known = new WeakMap<T, number>();
  const numbers = new Map<string, number>();
  return (part: T): number => {
    const before = known.get(part);
    if (before !== undefined) return before;
    const text = describePart(part);
    const number = numbers.get(text) ?? numbers.size;
    numbers.set(text, number);
    known.set(part, number);
    return number;
  };
}

const numberOfDaemon = createNumbering(describeDaemon);
const numberOfSent = createNumbering(describeSent);
const numberOfSubmissions = createNumbering(describeSubmissions);

/** Returns the same text for equal states. */
export function describe(model: Model): string {
  const { row, network, daemons, executions } = model;
  return [
    `${row?.content?.state} ${row?.content?.operationId} ${row?.version}`,
    network.map(numberOfSent).sort(),
    daemons.map(numberOfDaemon),
    numberOfSubmissions(model.submissions),
    executions,
    `${model.submit}${model.lose}${model.crash}${model.refuse}`,
  ].join("|");
}

/**
 * Removes late writes that can never take effect, because versions only
 * increase.
 */
export function pruneLateWrites(model: Model): Model {
  const version = model.row?.version ?? 0;
  const network = model.network.filter((sent) =>
    sent.isAwaited || sent.expectedVersion >= version
  );
  return network.length < model.network.length ? { ...model, network } : model;
}
