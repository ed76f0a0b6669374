import type { LossResult } from "./judge_losses.ts";
import type { LossSituation } from "./loss_situation.ts";

/** The users' target: share of resumed streams that go on. */
const REQUIRED_SHARE = 0.9;

/** A target, and whether a result misses it. */
interface Target {
  readonly text: string;
  readonly isMissed: (result: LossResult) => boolean;
  /** Whether it is judged only where streams have to go on. */
  readonly isForResumed?: boolean;
}

const TARGETS: readonly Target[] = [
  {
    text: "no stream has events of two versions",
    isMissed: ({ mixed }) => mixed > 0,
  },
  {
    text: "no stream has a gap or a repeat",
    isMissed: ({ broken }) => broken > 0,
  },
  {
    text: "nine in ten go on where two endpoints of their version serve",
    isMissed: ({ resumable }) =>
      resumable.wentOn < REQUIRED_SHARE * resumable.cameBack,
    isForResumed: true,
  },
  {
    text: "streams that can't go on are refused at once",
    isMissed: ({ slowRefusals }) => slowRefusals > 0,
  },
  {
    text: "streams are refused with 503",
    isMissed: ({ otherRefusals }) => otherRefusals > 0,
  },
  {
    text: "refused streams don't reach stages",
    isMissed: ({ refusedPieces }) => refusedPieces > 0,
  },
];

/** The targets that a result misses. */
export function findBrokenTargets(
  result: LossResult,
  { hasToGoOn }: Pick<LossSituation, "hasToGoOn">,
): readonly string[] {
  return TARGETS
    .filter(({ isForResumed = false }) => hasToGoOn || !isForResumed)
    .filter(({ isMissed }) => isMissed(result))
    .map(({ text }) => text);
}
