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
 * Queries every daemon of the client once. A daemon that does not answer is
 * listed as silent, so that an incomplete report can be recognized. Throws
 * KelpsparError if no daemon answers or one refuses the operator.
 */
export async function collectRecords(
  client: OperatorClient,
  timer: TimerService,
): Promise<SiteRecords> {
  // Removes duplicates, because a daemon must not be counted twice.
  const places = [...new Set(client.daemons)];
  const outcomes = await Promise.all(
    places.map((place) => tryCollect(client, place)),
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

async function tryCollect(
  client: OperatorClient,
  place: string,
): Promise<Outcome> {
  try {
    return { kind: "answered", record: await collectFromDaemon(client, place) };
  } catch (error) {
    if (!(error instanceof KelpsparError)) throw error;
    if (RESULT_CODES[error.result].retry !== "elsewhere") throw error;
    const daemon = { daemon: place, message: error.message };
    return { kind: "silent", daemon, error };
  }
}

async function collectFromDaemon(
  client: OperatorClient,
  place: string,
): Promise<DaemonRecord> {
  const get = (report: string): Promise<unknown> =>
    client.requestFrom(place, {
      method: "GET",
      path: `/v1/operator/${report}`,
    });
  const status = readAnswer(statusSchema, await get("status"));
  const { accounts } = readAnswer(accountTalliesSchema, await get("accounts"));
  const { histograms } = readAnswer(histogramsSchema, await get("histograms"));
  return { daemon: place, status, accounts, histograms };
}
