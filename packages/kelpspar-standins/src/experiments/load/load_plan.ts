/** The account that outweighs all others. */
export const LARGE_ACCOUNT = "large";

/** Every account of an experiment, the large one first. */
export const ACCOUNTS: readonly string[] = [
  LARGE_ACCOUNT,
  "small-0",
  "small-1",
  "small-2",
  "small-3",
];

/** Share of the fleet of each account in the configuration. */
export const ACCOUNT_SHARES: Readonly<Record<string, number>> = {
  [LARGE_ACCOUNT]: 0.6,
  "small-0": 0.1,
  "small-1": 0.1,
  "small-2": 0.1,
  "small-3": 0.1,
};

/** A pipeline of the experiments' configuration. */
export type ExperimentPipeline = "plan" | "booking" | "chat" | "order";

/** What is sent, and when. */
export interface LoadPlan {
  /** Requests a second of all accounts, when each keeps to its share. */
  readonly requestsPerSecond: number;
  /** Multiplies the rate of an account at a time (seconds); default 1. */
  readonly factor?: (account: string, seconds: number) => number;
  /** How long the load lasts, seconds, after the warm-up. */
  readonly seconds: number;
  /** Load before that, which counts only for what must never happen. */
  readonly warmUpSeconds: number;
  /** Share of requests that go through the pipeline with a once-stage. */
  readonly onceShare: number;
  /** That pipeline; default `booking`. */
  readonly oncePipeline?: Extract<ExperimentPipeline, "booking" | "order">;
  /** The pipeline of all others; default `plan`. */
  readonly pipeline?: Extract<ExperimentPipeline, "plan" | "chat">;
  /** Tokens a generation makes, uniform between the two. */
  readonly tokens: readonly [least: number, most: number];
  /** Prefixes that inputs share, and how long each is, characters. */
  readonly prefixes?: { readonly count: number; readonly characters: number };
  readonly deadlineMilliseconds: number;
}
