import type { RunnerStandIn } from "../wire/runner_stand_in.ts";
import type { WireSite } from "../wire/wire_site.ts";

/** New configurations at an interval. */
export type ConfigurationSeries =
  | "none"
  /** The same one again. */
  | "same"
  /** With one timeout and another in turn. */
  | "timeout";

/** Model endpoints that end, one after the other. */
export type EndingSeries =
  | "none"
  /** They end and close their connections. */
  | "ends"
  /** They send nothing more, and end a while later. */
  | "falls_silent";

/** One step of a series; `number` counts from 0. */
export interface SeriesStep {
  readonly intervalMilliseconds: number;
  readonly play: (site: EndingSite, number: number) => void;
}

/** A site, and when which of its endpoints stopped to work. */
export interface EndingSite {
  readonly site: WireSite;
  /** By the endpoint's id at that time; monotonic milliseconds. */
  readonly endings: Map<string, number>;
  /** Ends of silent endpoints that are still to come. */
  readonly timers: NodeJS.Timeout[];
}

/** Timeout of the routes, milliseconds. */
export const ROUTE_TIMEOUT_MILLISECONDS = 20_000;
const OTHER_TIMEOUT_MILLISECONDS = 21_000;
const CONFIGURATION_INTERVAL_MILLISECONDS = 3_000;
/** Time from the silence of an endpoint to its end. */
const SILENT_MILLISECONDS = 4_000;
/** Longer than a play. */
const FOR_GOOD_MILLISECONDS = 3_600_000;
const NO_STEP: SeriesStep = { intervalMilliseconds: 1_000, play: () => {} };

/** Series by name. */
export const CONFIGURATION_SERIES: Readonly<
  Record<ConfigurationSeries, SeriesStep>
> = {
  none: NO_STEP,
  same: {
    intervalMilliseconds: CONFIGURATION_INTERVAL_MILLISECONDS,
    play: ({ site }) => site.publish(),
  },
  timeout: {
    intervalMilliseconds: CONFIGURATION_INTERVAL_MILLISECONDS,
    play: ({ site }, number) =>
      site.publish({
        timeoutMilliseconds: number % 2 === 0
          ? OTHER_TIMEOUT_MILLISECONDS
          : ROUTE_TIMEOUT_MILLISECONDS,
      }),
  },
};

/** Series by name. */
export const ENDING_SERIES: Readonly<Record<EndingSeries, SeriesStep>> = {
  none: NO_STEP,
  ends: {
    intervalMilliseconds: 1_500,
    play: (ending, number) => endModel(ending, modelInTurn(ending, number)),
  },
  falls_silent: {
    intervalMilliseconds: 3_000,
    play: (ending, number) => silenceModel(ending, modelInTurn(ending, number)),
  },
};

/** The model endpoint whose turn it is. */
export function modelInTurn(
  { site }: Pick<EndingSite, "site">,
  number: number,
): RunnerStandIn | undefined {
  return site.models[number % site.models.length];
}

/** Ends an endpoint, which the site starts again later. */
export function endModel(
  { endings }: EndingSite,
  model: RunnerStandIn | undefined,
): void {
  if (model === undefined || endings.has(model.id)) return;
  endings.set(model.id, performance.now());
  model.onCrash();
}

/** Lets an endpoint send nothing until it ends, which removes its entry. */
export function silenceModel(
  { site, endings, timers }: EndingSite,
  model: RunnerStandIn | undefined,
): void {
  if (model === undefined || endings.has(model.id)) return;
  endings.set(model.id, performance.now());
  model.fallSilent(FOR_GOOD_MILLISECONDS);
  timers.push(setTimeout(() => {
    site.removeEntry(model.id);
    model.onCrash();
  }, SILENT_MILLISECONDS));
}
