import type { LossResult } from "./judge_losses.ts";

/** A target of the users. */
export type TargetName =
  /** No stream has events of two versions. */
  | "one_version"
  /** No stream has a gap or a repeat. */
  | "consecutive_events"
  /** Streams go on where two endpoints of their version serve. */
  | "goes_on"
  /** Streams that can't go on are refused at once. */
  | "refused_at_once"
  | "refused_with_503"
  /** Refused streams don't reach stages. */
  | "refused_before_stages";

/** The users' target: share of resumed streams that go on. */
const REQUIRED_SHARE = 0.9;

/** Whether a result misses a target. */
const IS_MISSED: Readonly<
  Record<TargetName, (result: LossResult) => boolean>
> = {
  one_version: ({ mixed }) => mixed > 0,
  consecutive_events: ({ broken }) => broken > 0,
  goes_on: ({ resumable }) =>
    resumable.wentOn < REQUIRED_SHARE * resumable.cameBack,
  refused_at_once: ({ slowRefusals }) => slowRefusals > 0,
  refused_with_503: ({ otherRefusals }) => otherRefusals > 0,
  refused_before_stages: ({ refusedPieces }) => refusedPieces > 0,
};

export const ALL_TARGETS = Object.keys(IS_MISSED) as readonly TargetName[];
/** What holds for each stream, whatever happens. */
export const STREAM_TARGETS = [
  "one_version",
  "consecutive_events",
] as const satisfies readonly TargetName[];

/** Those of the targets that a result misses. */
export function findBrokenTargets(
  result: LossResult,
  targets: readonly TargetName[],
): readonly TargetName[] {
  return targets.filter((name) => IS_MISSED[name](result));
}
