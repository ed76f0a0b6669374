import type { RunnerArrival } from "../wire/runner_stand_in.ts";
import type { WireSite } from "../wire/wire_site.ts";
import type { RepeatSituation } from "./repeat_situation.ts";
import type { WorstWindow } from "./find_worst_window.ts";
import { RETRY_LIMITS } from "../wire/wire_site.ts";
import {
  findWorstWindow,
  firstArrivalOfEach,
  firstArrivals,
} from "./find_worst_window.ts";
import { REPEAT_SITES } from "./repeat_site.ts";

/** What earns repeats: requests of callers, or first sends of pieces. */
export type RepeatBasis = "requests" | "pieces";

/** What the endpoints of one service saw. */
export interface ServiceRepeats {
  readonly service: string;
  readonly basis: RepeatBasis;
  readonly worst: WorstWindow;
}

/** A request of a caller. */
export interface SentRequest {
  /** When it was sent, monotonic milliseconds. */
  readonly at: number;
  /** The services that it needs. */
  readonly services: ReadonlySet<string>;
}

/** Judges what reached the endpoints of each service that callers need. */
export function judgeServices(
  site: WireSite,
  situation: Pick<RepeatSituation, "site">,
  sent: readonly SentRequest[],
): readonly ServiceRepeats[] {
  const slack = REPEAT_SITES[situation.site].retrySlack;
  const limits = { ...RETRY_LIMITS, slack };
  const judge = (
    service: string,
    arrivals: readonly RunnerArrival[],
    { basis, runs }: {
      readonly basis: RepeatBasis;
      readonly runs?: ReadonlyMap<string, number>;
    },
  ): ServiceRepeats => {
    const requests = basis === "requests"
      ? sent.filter(({ services }) => services.has(service)).map(({ at }) => at)
      : firstArrivals(arrivals);
    const records = { requests, arrivals, ...(runs ? { runs } : {}) };
    return { service, basis, worst: findWorstWindow(limits, records) };
  };
  const runs = firstArrivalOfEach(arrivalsAt(site.models));
  const needed = new Set(sent.flatMap(({ services }) => [...services]));
  return [
    judge("plain", arrivalsAt(site.plain), { basis: "requests" }),
    ...[...site.modelsOf].map(([service, runners]) =>
      judge(service, arrivalsAt(runners), { basis: "requests" })
    ),
    ...[...site.stagesOf].flatMap(([service, runners]) => {
      const arrivals = arrivalsAt(runners);
      return [
        judge(service, arrivals, { basis: "requests", runs }),
        judge(service, arrivals, { basis: "pieces", runs }),
      ];
    }),
  ].filter(({ service }) => needed.has(service));
}

function arrivalsAt(
  runners: readonly { readonly arrivals: readonly RunnerArrival[] }[],
): readonly RunnerArrival[] {
  return runners.flatMap(({ arrivals }) => arrivals);
}
