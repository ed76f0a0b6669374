import type { RunnerFault } from "../wire/runner_stand_in.ts";
import type { PartitionTarget } from "../wire/create_daemons.ts";
import type { StageFault } from "../wire/stage_runner_stand_in.ts";
import type { RepeatSiteName } from "./repeat_site.ts";
import type { StoreFault } from "../wire/store_stand_in.ts";

/** What happens to daemons while endpoints fail. */
export type DaemonFault =
  | "none"
  /** All are killed at once and start again. */
  | "kill_all"
  /** One after the other is stopped and starts again. */
  | "stop_in_turn"
  /** The same, and for some of them another one is killed. */
  | "stop_and_kill_in_turn"
  /** All but two are paused, others each time. */
  | "pause_in_turn"
  /** Two run at first, the others start one after the other. */
  | "grow"
  /** Half of them are partitioned, others and in another way each time. */
  | "partition_in_turn"
  /** Any of these to random daemons, overlapping. */
  | "drawn";

/** Endpoints that fail a share of their requests while daemons have faults. */
export interface RepeatSituation {
  /** A route of all sites, or `mixed` for the routes of the site's mix. */
  readonly route: "often" | "stream" | "resumed" | "mixed";
  readonly site: RepeatSiteName;
  readonly daemons: number;
  readonly perSecond: number;
  readonly seconds: number;
  /** Share of requests, calls or pieces that fail. */
  readonly share: number;
  readonly runnerFault: RunnerFault;
  readonly stageFault: StageFault;
  /** Interval at which a stage endpoint loses its results; 0 for never. */
  readonly stageRestartMilliseconds: number;
  /** How long it refuses connections then. */
  readonly stageDownMilliseconds: number;
  readonly daemonFault: DaemonFault;
  readonly faultIntervalMilliseconds: number;
  /** Daemons have no faults for this time, in which they learn answer times. */
  readonly calmSeconds: number;
  readonly partitionTarget: PartitionTarget;
  /** Interval at which an endpoint is replaced at its address; 0 for never. */
  readonly replacementMilliseconds: number;
  /** Time until the replacing endpoint's entry is written. */
  readonly entryMilliseconds: number;
  /** Software versions of model endpoints, in rotation; none by default. */
  readonly modelVersions: readonly string[];
  /** Number of events of a stream, or their mean if they are drawn. */
  readonly events: number;
  readonly areEventsDrawn: boolean;
  readonly eventMilliseconds: number;
  readonly deadlineMilliseconds: number;
  /** Number of times that a caller takes up a resumable stream. */
  readonly callerResumes: number;
  /** Load ends after this time, seconds; the run goes on. */
  readonly loadSeconds: number;
  /** Number of times that a refused caller sends again at once. */
  readonly callerRetries: number;
  /**
   * Interval at which callers of a stopping daemon send to it until its process
   * is gone; 0 for never.
   */
  readonly stickyMilliseconds: number;
  readonly store: StoreFault;
}

const PLAIN: RepeatSituation = {
  route: "often",
  site: "one_stage_service",
  daemons: 12,
  perSecond: 50,
  seconds: 24,
  share: 0.7,
  runnerFault: "failing",
  stageFault: "none",
  stageRestartMilliseconds: 0,
  stageDownMilliseconds: 0,
  daemonFault: "none",
  faultIntervalMilliseconds: 3_000,
  calmSeconds: 0,
  partitionTarget: "endpoints",
  replacementMilliseconds: 0,
  entryMilliseconds: 1_500,
  modelVersions: [],
  events: 5,
  areEventsDrawn: false,
  eventMilliseconds: 5,
  deadlineMilliseconds: 2_500,
  callerResumes: 0,
  loadSeconds: Number.POSITIVE_INFINITY,
  callerRetries: 0,
  stickyMilliseconds: 0,
  store: "none",
};

const STAGES: RepeatSituation = {
  ...PLAIN,
  route: "stream",
  runnerFault: "none",
  share: 0.6,
  stageFault: "full",
};

/** Several windows before a chain of three stage services. */
const CHAINS: RepeatSituation = {
  ...PLAIN,
  route: "resumed",
  site: "three_stage_services",
  daemons: 8,
  perSecond: 24,
  seconds: 42,
  runnerFault: "none",
  share: 0.6,
};

/** Streams of two versions that callers take up after they broke. */
const TAKEN_UP: RepeatSituation = {
  ...CHAINS,
  seconds: 30,
  perSecond: 16,
  modelVersions: ["v1", "v1", "v1.2"],
  events: 30,
  eventMilliseconds: 50,
  deadlineMilliseconds: 6_000,
  callerResumes: 10,
  runnerFault: "full",
  share: 0.5,
  daemonFault: "kill_all",
  faultIntervalMilliseconds: 4_500,
};

/** Stops of daemons one after the other, without any other fault. */
const STOPS: RepeatSituation = {
  ...PLAIN,
  route: "mixed",
  site: "slow_stage_calls",
  daemons: 8,
  perSecond: 7,
  seconds: 34,
  calmSeconds: 8,
  runnerFault: "none",
  share: 0.6,
  daemonFault: "stop_in_turn",
  faultIntervalMilliseconds: 1_300,
  events: 26,
  areEventsDrawn: true,
  eventMilliseconds: 14,
  deadlineMilliseconds: 10_000,
};

/** Situations by name. */
export const REPEAT_SITUATIONS = {
  failing: PLAIN,
  rejecting: { ...PLAIN, runnerFault: "full" },
  closing: { ...PLAIN, runnerFault: "answer_lost" },
  silent: { ...PLAIN, runnerFault: "mute" },
  killed: { ...PLAIN, daemonFault: "kill_all" },
  stopped: {
    ...PLAIN,
    daemonFault: "stop_in_turn",
    faultIntervalMilliseconds: 500,
  },
  paused: {
    ...PLAIN,
    daemonFault: "pause_in_turn",
    faultIntervalMilliseconds: 4_000,
  },
  grown: { ...PLAIN, daemonFault: "grow", faultIntervalMilliseconds: 700 },
  "store-away-killed": { ...PLAIN, daemonFault: "kill_all", store: "reset" },
  drawn: { ...PLAIN, daemonFault: "drawn", faultIntervalMilliseconds: 700 },
  "stages-full": STAGES,
  "stages-full-killed": { ...STAGES, daemonFault: "kill_all" },
  "stages-full-paused": {
    ...STAGES,
    daemonFault: "pause_in_turn",
    faultIntervalMilliseconds: 4_000,
  },
  "stages-failing": { ...STAGES, stageFault: "failing", share: 0.7 },
  "stages-closing": { ...STAGES, stageFault: "closed" },
  "stages-ending": {
    ...STAGES,
    stageFault: "none",
    stageRestartMilliseconds: 350,
  },
  "stages-down": {
    ...STAGES,
    stageFault: "none",
    stageRestartMilliseconds: 350,
    stageDownMilliseconds: 1_500,
  },
  "stages-down-killed": {
    ...STAGES,
    stageFault: "none",
    stageRestartMilliseconds: 350,
    stageDownMilliseconds: 1_500,
    daemonFault: "kill_all",
  },
  "stages-drawn": {
    ...STAGES,
    stageRestartMilliseconds: 1_500,
    daemonFault: "drawn",
    faultIntervalMilliseconds: 700,
  },
  stops: STOPS,
  "stops-loaded": { ...STOPS, perSecond: 12 },
  "stops-sticky": { ...STOPS, stickyMilliseconds: 60 },
  "stops-killed": { ...STOPS, daemonFault: "stop_and_kill_in_turn" },
  "stops-ending": { ...STOPS, stageRestartMilliseconds: 1_300 },
  "stops-down": {
    ...STOPS,
    stageRestartMilliseconds: 1_300,
    stageDownMilliseconds: 1_500,
  },
  "stops-rejecting": { ...STOPS, runnerFault: "full", stageFault: "full" },
  "stops-cut": { ...STOPS, runnerFault: "cut" },
  "stops-killed-cut-ending": {
    ...STOPS,
    daemonFault: "stop_and_kill_in_turn",
    runnerFault: "cut",
    stageRestartMilliseconds: 1_300,
  },
  "chains-failing": { ...CHAINS, runnerFault: "failing", share: 0.7 },
  "chains-rejecting-killed": {
    ...CHAINS,
    runnerFault: "full",
    share: 0.7,
    daemonFault: "kill_all",
  },
  "chains-inputs-gone": { ...CHAINS, runnerFault: "inputs_gone", share: 0.7 },
  "chains-cut": { ...CHAINS, runnerFault: "cut", share: 0.7 },
  "chains-cut-killed": {
    ...CHAINS,
    runnerFault: "cut",
    share: 0.7,
    daemonFault: "kill_all",
  },
  "chains-full": { ...CHAINS, stageFault: "full" },
  "chains-full-killed": {
    ...CHAINS,
    stageFault: "full",
    daemonFault: "kill_all",
  },
  "chains-full-retried": { ...CHAINS, stageFault: "full", callerRetries: 3 },
  "chains-full-ended": { ...CHAINS, stageFault: "full", loadSeconds: 14 },
  "chains-closing": { ...CHAINS, stageFault: "closed" },
  "chains-ending": { ...CHAINS, stageRestartMilliseconds: 350 },
  "chains-cut-ending": {
    ...CHAINS,
    runnerFault: "cut",
    share: 0.7,
    stageRestartMilliseconds: 350,
  },
  "chains-partitioned": {
    ...CHAINS,
    runnerFault: "failing",
    daemonFault: "partition_in_turn",
  },
  "chains-full-partitioned": {
    ...CHAINS,
    stageFault: "full",
    daemonFault: "partition_in_turn",
  },
  "chains-peers-partitioned": {
    ...CHAINS,
    runnerFault: "failing",
    daemonFault: "partition_in_turn",
    partitionTarget: "daemons",
  },
  "chains-store-partitioned": {
    ...CHAINS,
    runnerFault: "failing",
    daemonFault: "partition_in_turn",
    partitionTarget: "store",
  },
  "chains-drawn": {
    ...CHAINS,
    runnerFault: "failing",
    stageRestartMilliseconds: 1_500,
    daemonFault: "drawn",
    faultIntervalMilliseconds: 700,
  },
  "taken-up-rejecting-killed": TAKEN_UP,
  "taken-up-cut-killed": { ...TAKEN_UP, runnerFault: "cut" },
  "taken-up-one-version-killed": { ...TAKEN_UP, modelVersions: ["v1"] },
  "taken-up-one-version-cut-killed": {
    ...TAKEN_UP,
    modelVersions: ["v1"],
    runnerFault: "cut",
  },
  "taken-up-full-killed": {
    ...TAKEN_UP,
    runnerFault: "none",
    stageFault: "full",
  },
  "taken-up-drawn": {
    ...TAKEN_UP,
    daemonFault: "drawn",
    faultIntervalMilliseconds: 700,
  },
  "taken-up-replaced-drawn": {
    ...TAKEN_UP,
    share: 0.4,
    stageFault: "full",
    replacementMilliseconds: 300,
    daemonFault: "drawn",
    faultIntervalMilliseconds: 1_500,
  },
  replaced: { ...PLAIN, runnerFault: "none", replacementMilliseconds: 200 },
  "replaced-killed": {
    ...PLAIN,
    runnerFault: "none",
    replacementMilliseconds: 200,
    daemonFault: "kill_all",
  },
  "chains-replaced": {
    ...CHAINS,
    seconds: 30,
    replacementMilliseconds: 120,
  },
  "chains-replaced-killed": {
    ...CHAINS,
    seconds: 30,
    replacementMilliseconds: 120,
    daemonFault: "kill_all",
  },
  "relayed-lost": {
    ...PLAIN,
    runnerFault: "answer_lost",
    daemonFault: "partition_in_turn",
  },
  "relayed-rejecting": {
    ...PLAIN,
    runnerFault: "full",
    daemonFault: "partition_in_turn",
    faultIntervalMilliseconds: 900,
  },
  "relayed-replaced": {
    ...PLAIN,
    runnerFault: "none",
    replacementMilliseconds: 200,
    daemonFault: "partition_in_turn",
    faultIntervalMilliseconds: 900,
  },
  "chains-relayed-lost": {
    ...CHAINS,
    seconds: 30,
    runnerFault: "answer_lost",
    share: 0.7,
    daemonFault: "partition_in_turn",
  },
  "chains-cut-ending-killed": {
    ...CHAINS,
    seconds: 30,
    runnerFault: "cut",
    share: 0.7,
    stageRestartMilliseconds: 350,
    daemonFault: "kill_all",
  },
  "chains-cut-partitioned": {
    ...CHAINS,
    seconds: 30,
    runnerFault: "cut",
    share: 0.7,
    daemonFault: "partition_in_turn",
  },
} as const satisfies Readonly<Record<string, RepeatSituation>>;

/** The name of a situation. */
export type RepeatSituationName = keyof typeof REPEAT_SITUATIONS;
