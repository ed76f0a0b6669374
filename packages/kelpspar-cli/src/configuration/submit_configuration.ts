import type { JsonAnswer } from "kelpspar-backends";
import type { TimerService } from "kelpspar-shared";
import type { OperatorClient } from "../operator/operator_client.ts";
import { ExchangeError } from "kelpspar-backends";
import { KelpsparError, RESULT_CODES } from "kelpspar-shared";
import { appliedSchema, changeSchema } from "../operator/answers.ts";
import { readFailure, toAnswerError } from "../operator/failure_answer.ts";
import { readAnswer } from "../operator/read_answer.ts";
import { pollUntilFound } from "./poll_until_found.ts";

const STATUS_OK = 200;
const POLL_INTERVAL_MILLISECONDS = 500;

/** A configuration change as it is submitted to the daemons. */
export interface ConfigurationSubmission {
  readonly configuration: unknown;
  readonly expectedRevision: number;
  readonly changeId: string;
}

/** Options of `submitConfiguration`. */
export interface SubmitOptions {
  readonly client: OperatorClient;
  readonly timer: TimerService;
  /** How long to search for a lost answer, in milliseconds. */
  readonly timeoutMilliseconds: number;
}

/** The outcome of a submission, answered directly or recovered by look-up. */
export type SubmitOutcome =
  | { readonly type: "accepted"; readonly revision: number }
  | { readonly type: "invalid"; readonly errors: unknown };

/** One daemon's reply to a submission; `lost` if its outcome is unknown. */
type SubmitReply =
  | SubmitOutcome
  | { readonly type: "lost" }
  | { readonly type: "not_taken"; readonly error: KelpsparError };

/**
 * Submits a configuration to the daemons in order. A change may be accepted
 * although its answer is lost. If that were reported as a failure, the operator
 * would apply it again and overwrite changes that others made since. So the
 * next daemon is tried only if it is proven that the last one did not accept
 * the change. After a lost answer, every daemon is queried by the change's id
 * before the change is reported as `apply_unconfirmed`. Throws KelpsparError.
 */
export async function submitConfiguration(
  submission: ConfigurationSubmission,
  options: SubmitOptions,
): Promise<SubmitOutcome> {
  let failure = new KelpsparError("usage", "No daemon was specified");
  for (const place of options.client.daemons) {
    const reply = await submitTo(place, { submission, client: options.client });
    if (reply.type === "lost") return await findLostAnswer(submission, options);
    if (reply.type !== "not_taken") return reply;
    failure = reply.error;
    if (RESULT_CODES[failure.result].retry !== "elsewhere") break;
  }
  throw failure;
}

async function submitTo(
  place: string,
  options: {
    readonly submission: ConfigurationSubmission;
    readonly client: OperatorClient;
  },
): Promise<SubmitReply> {
  const { client, submission } = options;
  try {
    const answer = await client.exchangeWith(place, {
      method: "POST",
      path: "/v1/operator/configuration",
      body: submission,
    });
    const reply = readReply(place, answer);
    return reply.type === "not_taken" && isConflict(reply.error)
      ? await resolveConflict(reply.error, options)
      : reply;
  } catch (error) {
    if (!(error instanceof ExchangeError)) throw error;
    if (error.mayHaveArrived) return { type: "lost" };
    const refusal = new KelpsparError("peer_unavailable", error.message);
    return { type: "not_taken", error: refusal };
  }
}

function readReply(place: string, answer: JsonAnswer): SubmitReply {
  if (answer.status === STATUS_OK) {
    const { revision } = readAnswer(appliedSchema, answer.body);
    return { type: "accepted", revision };
  }
  const failure = readFailure(answer.body);
  if (failure?.result === "configuration_invalid") {
    return { type: "invalid", errors: failure["errors"] ?? [] };
  }
  const error = toAnswerError(place, answer);
  return failure === undefined || error.outcome !== "not_run"
    ? { type: "lost" }
    : { type: "not_taken", error };
}

function isConflict(error: KelpsparError): boolean {
  return error.result === "revision_conflict";
}

/** A submission that arrived twice conflicts with its own accepted revision. */
async function resolveConflict(
  error: KelpsparError,
  options: {
    readonly submission: ConfigurationSubmission;
    readonly client: OperatorClient;
  },
): Promise<SubmitReply> {
  const revision = await findChange(
    options.submission.changeId,
    options.client,
  );
  if (revision === undefined) return { type: "not_taken", error };
  return { type: "accepted", revision };
}

async function findLostAnswer(
  submission: ConfigurationSubmission,
  options: SubmitOptions,
): Promise<SubmitOutcome> {
  const revision = await pollUntilFound({
    timer: options.timer,
    intervalMilliseconds: POLL_INTERVAL_MILLISECONDS,
    timeoutMilliseconds: options.timeoutMilliseconds,
    poll: () => findChange(submission.changeId, options.client),
  });
  if (revision !== undefined) return { type: "accepted", revision };
  throw new KelpsparError(
    "apply_unconfirmed",
    `Cannot confirm change "${submission.changeId}": no daemon reported that it was accepted`,
  );
}

/** Finds the revision of a change; undefined if no daemon has accepted it. */
export async function findChange(
  changeId: string,
  client: OperatorClient,
): Promise<number | undefined> {
  const path = `/v1/operator/configuration/changes/${
    encodeURIComponent(changeId)
  }`;
  for (const place of client.daemons) {
    try {
      const answer = await client.requestFrom(place, { method: "GET", path });
      const change = readAnswer(changeSchema, answer);
      if (change.state === "accepted") return change.revision;
    } catch (error) {
      // Another daemon may have the change; if none has, the caller reports it.
      if (!(error instanceof KelpsparError)) throw error;
    }
  }
  return undefined;
}
