import type { TimerService } from "kelpspar-shared";
import type { CallResult } from "../caller/call_result.ts";
import type { DaemonPools } from "../caller/daemon_pools.ts";
import type { SubmissionEnd } from "../caller/submission.ts";
import type { ExperimentSite } from "../site/experiment_site.ts";
import { toAddress } from "../caller/daemon_address_cache.ts";
import { submit } from "../caller/submit.ts";
import { callerKey } from "../site/experiment_configuration.ts";
import { isAnswered } from "./judge_result.ts";

const MAXIMUM_LOOKUPS = 100;
const LOOKUP_TIMEOUT_MILLISECONDS = 2_000;

/** Outcomes of the lookups. */
export interface KeptFigures {
  readonly kept: number;
  readonly keptGone: number;
  /** Results that were found, but whose outcome is no longer known. */
  readonly keptUnknown: number;
  readonly keptWrong: number;
}

/** Options of `checkKeptResults`. */
export interface CheckKeptResultsOptions {
  readonly site: ExperimentSite;
  readonly pools: DaemonPools;
  readonly timer: TimerService;
}

/**
 * Looks up answered once-requests by key, as a caller does that lost its copy,
 * at another daemon than the one that answered. A result that is not found there
 * counts as lost, because the daemons guarantee to keep it.
 */
export async function checkKeptResults(
  results: readonly CallResult[],
  options: CheckKeptResultsOptions,
): Promise<KeptFigures> {
  const found = { kept: 0, keptGone: 0, keptUnknown: 0, keptWrong: 0 };
  if (options.site.arm === "naive") return found;
  const answered = results.filter((result) =>
    result.request.hasOnceStage && isAnswered(result) &&
    result.idempotencyKey?.startsWith("@") === false
  );
  const step = Math.max(1, Math.floor(answered.length / MAXIMUM_LOOKUPS));
  const checked = answered.filter((_, index) => index % step === 0);
  for (const result of checked) {
    found[judge(await lookUp(result, options), result)]++;
  }
  return found;
}

async function lookUp(
  result: CallResult,
  { site, pools, timer }: CheckKeptResultsOptions,
): Promise<SubmissionEnd> {
  const ports = site.daemons.map(({ port }) => port);
  const port = ports.find((candidate) => candidate !== result.port) ??
    ports[0] ?? 0;
  const abort = new AbortController();
  const stopTimer = timer.registerTimeout(
    () => abort.abort(),
    LOOKUP_TIMEOUT_MILLISECONDS,
  );
  const key = encodeURIComponent(result.idempotencyKey ?? "");
  const end = await submit({
    dispatcher: pools.of(toAddress(port)),
    method: "GET",
    path: `/v1/requests/by-key/${key}`,
    callerKey: callerKey(result.request.account),
    signal: abort.signal,
  });
  stopTimer();
  return end;
}

function judge(
  end: SubmissionEnd,
  { request }: CallResult,
): "kept" | "keptGone" | "keptUnknown" | "keptWrong" {
  if (end.type === "whole") {
    return end.text === request.expectedText ? "kept" : "keptWrong";
  }
  const isGone = end.type === "failure" &&
    end.failure.result === "request_not_found";
  return isGone ? "keptGone" : "keptUnknown";
}
