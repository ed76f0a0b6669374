/** The account with the largest share. */
export const LARGE_ACCOUNT = "large";

/** All accounts of an experiment, the large one first. */
export const ACCOUNTS: readonly string[] = [
  LARGE_ACCOUNT,
  "small-0",
  "small-1",
  "small-2",
  "small-3",
];

/** Configured share of the fleet by account. */
export const ACCOUNT_SHARES: Readonly<Record<string, number>> = {
  [LARGE_ACCOUNT]: 0.6,
  "small-0": 0.1,
  "small-1": 0.1,
  "small-2": 0.1,
  "small-3": 0.1,
};

/** A pipeline of the experiments' configuration. */
export type ExperimentPipeline = "plan" | "booking" | "chat" | "order";

/** Parameters from which the requests of a run are drawn. */
export interface LoadPlan {
  /** Requests per second of all accounts, if each stays within its share. */
  readonly requestsPerSecond: number;
  /** Rate multiplier of an account at a time in seconds; default 1. */
  readonly factor?: (account: string, seconds: number) => number;
  /** Duration of the measured load after the warm-up, in seconds. */
  readonly seconds: number;
  /**
   * Duration of the warm-up load, in seconds. Among the figures of answers, only
   * those of correctness and cost include it.
   */
  readonly warmUpSeconds: number;
  /** Share of requests to the pipeline with a once-stage, 0 to 1. */
  readonly onceShare: number;
  /** Pipeline of these requests; default `booking`. */
  readonly oncePipeline?: Extract<ExperimentPipeline, "booking" | "order">;
  /** Pipeline of all other requests; default `plan`. */
  readonly pipeline?: Extract<ExperimentPipeline, "plan" | "chat">;
  /** Bounds of the uniformly drawn number of tokens to generate. */
  readonly tokens: readonly [least: number, most: number];
  /** Number of shared input prefixes, and their length in characters. */
  readonly prefixes?: { readonly count: number; readonly characters: number };
  readonly deadlineMilliseconds: number;
}
