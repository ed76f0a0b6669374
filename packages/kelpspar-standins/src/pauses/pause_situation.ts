import type { SilenceOptions } from "../wire/runner_stand_in.ts";
import type { ConfigurationSeries, EndingSeries } from "./pause_series.ts";

/** What happens to model endpoints and the configuration while streams run. */
export interface PauseSituation {
  readonly daemons: number;
  readonly perSecond: number;
  /** Time in which streams begin. */
  readonly seconds: number;
  /** Whether streams run through all stages first. */
  readonly hasStages: boolean;
  /** Every 2 s other endpoints pause for this time; 0 for never. */
  readonly pauseMilliseconds: number;
  /** Number of endpoints that pause together. */
  readonly pausingEndpoints: number;
  readonly silence: SilenceOptions;
  readonly configuration: ConfigurationSeries;
  readonly ending: EndingSeries;
  /** Whether steps for endpoints, daemons and configurations are drawn. */
  readonly hasDrawnSteps: boolean;
}

export const CALM: PauseSituation = {
  daemons: 4,
  perSecond: 7.7,
  seconds: 26,
  hasStages: true,
  pauseMilliseconds: 0,
  pausingEndpoints: 1,
  silence: { requests: "begun" },
  configuration: "none",
  ending: "none",
  hasDrawnSteps: false,
};
const SHORT: PauseSituation = { ...CALM, pauseMilliseconds: 1_900 };
const LONG: PauseSituation = { ...CALM, pauseMilliseconds: 2_500 };
const LOW_LOAD = { perSecond: 2.5 } as const;
const NO_STAGES = { hasStages: false } as const;

/** Situations by name; pauses by their milliseconds. */
export const PAUSE_SITUATIONS = {
  "calm": CALM,
  "1200": { ...CALM, pauseMilliseconds: 1_200 },
  "1900": SHORT,
  "2500": LONG,
  "6000": { ...CALM, pauseMilliseconds: 6_000 },
  "2500-direct": { ...LONG, ...NO_STAGES },
  // These end when another endpoint that was asked for the rest begins.
  "2200": { ...CALM, pauseMilliseconds: 2_200 },
  "1560-direct": { ...CALM, ...NO_STAGES, pauseMilliseconds: 1_560 },
  "6000-direct": { ...CALM, ...NO_STAGES, pauseMilliseconds: 6_000 },
  "1900-low-load": { ...SHORT, ...LOW_LOAD },
  "2500-low-load": { ...LONG, ...LOW_LOAD },
  "2500-low-load-half": { ...LONG, ...LOW_LOAD, pausingEndpoints: 4 },
  "1900-configurations": { ...SHORT, configuration: "same" },
  "2500-configurations": { ...LONG, configuration: "same" },
  "2500-timeouts": { ...LONG, configuration: "timeout" },
  "2500-low-load-timeouts": { ...LONG, ...LOW_LOAD, configuration: "timeout" },
  "2500-first-events": { ...LONG, silence: { requests: "all" } },
  "2500-first-events-direct": {
    ...LONG,
    ...NO_STAGES,
    silence: { requests: "all" },
  },
  "2500-inside-events": {
    ...LONG,
    silence: { requests: "begun", isInsideEvents: true },
  },
  "ends": { ...CALM, ending: "ends" },
  "ends-direct": { ...CALM, ...NO_STAGES, ending: "ends" },
  "silent": { ...CALM, ending: "falls_silent" },
  "silent-direct": { ...CALM, ...NO_STAGES, ending: "falls_silent" },
} as const satisfies Readonly<Record<string, PauseSituation>>;

/** The name of a situation. */
export type PauseSituationName = keyof typeof PAUSE_SITUATIONS;
