import type { TimerService } from "kelpspar-shared";
import type { CallResult } from "../caller/call_result.ts";
import type { DaemonPools } from "../caller/daemon_pools.ts";
import type { SubmissionEnd } from "../caller/submission.ts";
import type { ExperimentSite } from "../site/experiment_site.ts";
import { toAddress } from "../caller/daemon_address_cache.ts";
import { submit } from "../caller/submit.ts";
import { callerKey } from "../site/experiment_configuration.ts";
import { isAnswered } from "./judge_result.ts";

const MOST_LOOK_UPS = 100;
const LOOK_UP_MILLISECONDS = 2_000;

/** What came of the look-ups. */
export interface KeptFigures {
  readonly kept: number;
  readonly keptGone: number;
  /** Found, but its outcome is not known any more. */
  readonly keptUnknown: number;
  readonly keptWrong: number;
}

/** What look-ups are made with. */
export interface CheckKeptOptions {
  readonly site: ExperimentSite;
  readonly pools: DaemonPools;
  readonly timer: TimerService;
}

/**
 * Looks once-requests that were answered up by their key at another daemon
 * than the one that answered, as a caller does that lost its copy. What is not
 * found there was promised and is gone.
 */
export async function checkKept(
  results: readonly CallResult[],
  options: CheckKeptOptions,
): Promise<KeptFigures> {
  const found = { kept: 0, keptGone: 0, keptUnknown: 0, keptWrong: 0 };
  if (options.site.arm === "naive") return found;
  const answered = results.filter((result) =>
    result.request.hasOnceStage && isAnswered(result) &&
    result.idempotencyKey?.startsWith("@") === false
  );
  const step = Math.max(1, Math.floor(answered.length / MOST_LOOK_UPS));
  const checked = answered.filter((_, index) => index % step === 0);
  for (const result of checked) {
    found[judge(await lookUp(result, options), result)]++;
  }
  return found;
}

async function lookUp(
  result: CallResult,
  { site, pools, timer }: CheckKeptOptions,
): Promise<SubmissionEnd> {
  const ports = site.daemons.map(({ port }) => port);
  const port = ports.find((one) => one !== result.port) ?? ports[0] ?? 0;
  const abort = new AbortController();
  const stopTimer = timer.registerTimeout(
    () => abort.abort(),
    LOOK_UP_MILLISECONDS,
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
