import type { JsonAnswer } from "kelpspar-backends";
import type { TimerService } from "kelpspar-shared";
import type { OperatorClient } from "../operator/operator_client.ts";
import { ExchangeError } from "kelpspar-backends";
import { KelpsparError, RESULT_CODES } from "kelpspar-shared";
import { appliedSchema, changeSchema } from "../operator/answers.ts";
import { readFailure, toAnswerError } from "../operator/failure_answer.ts";
import { readAnswer } from "../operator/read_answer.ts";
import { waitFor } from "./poll_until_found.ts";

const STATUS_OK = 200;
const ASK_AGAIN_MILLISECONDS = 500;

/** What is offered to the daemons. */
export interface ConfigurationOffer {
  readonly configuration: unknown;
  readonly expectedRevision: number;
  readonly changeId: string;
}

/** How an offer is made. */
export interface OfferOptions {
  readonly client: OperatorClient;
  readonly timer: TimerService;
  /** How long to look for a lost answer, milliseconds. */
  readonly timeoutMilliseconds: number;
}

/** What became of an offer that was answered or found again. */
export type OfferOutcome =
  | { readonly type: "accepted"; readonly revision: number }
  | { readonly type: "invalid"; readonly errors: unknown };

/** What one daemon made of an offer; `lost` when that is not known. */
type OfferReply =
  | OfferOutcome
  | { readonly type: "lost" }
  | { readonly type: "not_taken"; readonly error: KelpsparError };

/**
 * Offers a configuration. What goes wrong: the change is accepted and its
 * answer lost; an operator who is told "failed" applies again, over what
 * others changed since. So only proof that a daemon did not take the offer
 * leads to the next one, and a lost answer is looked for by the change's id,
 * at every daemon, before it is called `apply_unconfirmed`. Throws
 * KelpsparError.
 */
export async function offerConfiguration(
  offer: ConfigurationOffer,
  options: OfferOptions,
): Promise<OfferOutcome> {
  let failure = new KelpsparError("usage", "No daemon was named");
  for (const place of options.client.daemons) {
    const reply = await offerAt(place, { offer, client: options.client });
    if (reply.type === "lost") return await findLostAnswer(offer, options);
    if (reply.type !== "not_taken") return reply;
    failure = reply.error;
    if (RESULT_CODES[failure.result].retry !== "elsewhere") break;
  }
  throw failure;
}

async function offerAt(
  place: string,
  options: {
    readonly offer: ConfigurationOffer;
    readonly client: OperatorClient;
  },
): Promise<OfferReply> {
  const { client, offer } = options;
  try {
    const answer = await client.exchangeAt(place, {
      method: "POST",
      path: "/v1/operator/configuration",
      body: offer,
    });
    const reply = readReply(place, answer);
    return reply.type === "not_taken" && isConflict(reply.error)
      ? await checkConflict(reply.error, options)
      : reply;
  } catch (error) {
    if (!(error instanceof ExchangeError)) throw error;
    if (error.mayHaveArrived) return { type: "lost" };
    const refusal = new KelpsparError("peer_unavailable", error.message);
    return { type: "not_taken", error: refusal };
  }
}

function readReply(place: string, answer: JsonAnswer): OfferReply {
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

/** An offer that arrived twice conflicts with itself, though it is in force. */
async function checkConflict(
  error: KelpsparError,
  options: {
    readonly offer: ConfigurationOffer;
    readonly client: OperatorClient;
  },
): Promise<OfferReply> {
  const revision = await findChange(options.offer.changeId, options.client);
  if (revision === undefined) return { type: "not_taken", error };
  return { type: "accepted", revision };
}

async function findLostAnswer(
  offer: ConfigurationOffer,
  options: OfferOptions,
): Promise<OfferOutcome> {
  const revision = await waitFor({
    timer: options.timer,
    everyMilliseconds: ASK_AGAIN_MILLISECONDS,
    timeoutMilliseconds: options.timeoutMilliseconds,
    look: () => findChange(offer.changeId, options.client),
  });
  if (revision !== undefined) return { type: "accepted", revision };
  throw new KelpsparError(
    "apply_unconfirmed",
    `No daemon knows whether change "${offer.changeId}" was accepted`,
  );
}

/** The revision of an accepted change; undefined while nobody knows of it. */
export async function findChange(
  changeId: string,
  client: OperatorClient,
): Promise<number | undefined> {
  const path = `/v1/operator/configuration/changes/${
    encodeURIComponent(changeId)
  }`;
  for (const place of client.daemons) {
    try {
      const answer = await client.askAt(place, { method: "GET", path });
      const change = readAnswer(changeSchema, answer);
      if (change.state === "accepted") return change.revision;
    } catch (error) {
      // Another daemon may know; if none does, the caller says so.
      if (!(error instanceof KelpsparError)) throw error;
    }
  }
  return undefined;
}
