import type { TimerService } from "kelpspar-shared";
import type { OperatorClient } from "../operator/operator_client.ts";
import type {
  DaemonRecord,
  SilentDaemon,
  SiteRecords,
} from "./site_records.ts";
import { KelpsparError, RESULT_CODES } from "kelpspar-shared";
import { statusSchema } from "../operator/answers.ts";
import { readAnswer } from "../operator/read_answer.ts";
import {
  accountTalliesSchema,
  histogramsSchema,
  RECORDS_VERSION,
} from "./site_records.ts";

type Outcome =
  | { readonly kind: "answered"; readonly record: DaemonRecord }
  | {
    readonly kind: "silent";
    readonly daemon: SilentDaemon;
    readonly error: KelpsparError;
  };

/**
 * Asks every daemon of the client once. A daemon that does not answer is
 * listed as silent, so that a report never passes for one of the whole site.
 * Throws KelpsparError when none answers or one refuses the operator.
 */
export async function collectRecords(
  client: OperatorClient,
  timer: TimerService,
): Promise<SiteRecords> {
  // A daemon named twice would be counted twice.
  const places = [...new Set(client.daemons)];
  const outcomes = await Promise.all(
    places.map((place) => askOrNote(client, place)),
  );
  const silent = outcomes.filter((outcome) => outcome.kind === "silent");
  const answered = outcomes.filter((outcome) => outcome.kind === "answered");
  const [firstSilent] = silent;
  if (answered.length === 0 && firstSilent !== undefined) {
    throw firstSilent.error;
  }
  return {
    version: RECORDS_VERSION,
    collectedAt: timer.wallClock(),
    daemons: answered.map(({ record }) => record),
    silentDaemons: silent.map(({ daemon }) => daemon),
  };
}

async function askOrNote(
  client: OperatorClient,
  place: string,
): Promise<Outcome> {
  try {
    return { kind: "answered", record: await askDaemon(client, place) };
  } catch (error) {
    if (!(error instanceof KelpsparError)) throw error;
    if (RESULT_CODES[error.result].retry !== "elsewhere") throw error;
    const daemon = { daemon: place, message: error.message };
    return { kind: "silent", daemon, error };
  }
}

async function askDaemon(
  client: OperatorClient,
  place: string,
): Promise<DaemonRecord> {
  const ask = (report: string): Promise<unknown> =>
    client.askAt(place, { method: "GET", path: `/v1/operator/${report}` });
  const status = readAnswer(statusSchema, await ask("status"));
  const { accounts } = readAnswer(accountTalliesSchema, await ask("accounts"));
  const { histograms } = readAnswer(histogramsSchema, await ask("histograms"));
  return { daemon: place, status, accounts, histograms };
}
