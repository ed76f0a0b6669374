import type { RunnerArrival } from "../wire/runner_stand_in.ts";
import type { WireSite } from "../wire/wire_site.ts";
import type { RepeatSituation } from "./repeat_situation.ts";
import type { WorstWindow } from "./find_worst_window.ts";
import { RETRY_LIMITS } from "../wire/wire_site.ts";
import { findWorstWindow, firstArrivals } from "./find_worst_window.ts";
import { REPEAT_SITES } from "./repeat_site.ts";

/** What earns repeats: requests of callers, or first sends of pieces. */
export type RepeatBasis = "requests" | "pieces";

/** What the endpoints of one service saw. */
export interface ServiceRepeats {
  readonly service: string;
  readonly basis: RepeatBasis;
  readonly worst: WorstWindow;
}

/**
 * Judges what reached the endpoints of each service of the situation's route.
 * `requests` are the times at which callers sent, monotonic milliseconds.
 */
export function judgeServices(
  site: WireSite,
  situation: RepeatSituation,
  requests: readonly number[],
): readonly ServiceRepeats[] {
  const slack = REPEAT_SITES[situation.site].retrySlack;
  const limits = { ...RETRY_LIMITS, slack };
  const judge = (
    service: string,
    arrivals: readonly RunnerArrival[],
    basis: RepeatBasis = "requests",
  ): ServiceRepeats => {
    const allowing = basis === "requests" ? requests : firstArrivals(arrivals);
    const worst = findWorstWindow(limits, { requests: allowing, arrivals });
    return { service, basis, worst };
  };
  if (situation.route === "often") {
    return [judge("plain", arrivalsAt(site.plain))];
  }
  const stages = [...site.stagesOf].flatMap(([service, runners]) => [
    judge(service, arrivalsAt(runners), "requests"),
    judge(service, arrivalsAt(runners), "pieces"),
  ]);
  return [judge("model", arrivalsAt(site.models)), ...stages];
}

function arrivalsAt(
  runners: readonly { readonly arrivals: readonly RunnerArrival[] }[],
): readonly RunnerArrival[] {
  return runners.flatMap(({ arrivals }) => arrivals);
}
