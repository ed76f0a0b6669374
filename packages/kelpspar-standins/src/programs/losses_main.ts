import type { LossSituationName } from "../losses/loss_situation.ts";
import type { ResumedCount } from "../losses/judge_losses.ts";
import type { SituationRun } from "./play_situations.ts";
import {
  findBrokenTargets,
  STREAM_TARGETS,
} from "../losses/find_broken_targets.ts";
import { LOSS_SITUATIONS } from "../losses/loss_situation.ts";
import { runDrawnLosses } from "../losses/run_drawn_losses.ts";
import { runLosses } from "../losses/run_losses.ts";
import { playSituations } from "./play_situations.ts";
import { printText } from "./read_settings.ts";

const EXIT_CHECK_FAILED = 1;

/** A situation, or a drawn series of faults. */
type PlayedName = LossSituationName | "drawn";

await playSituations<PlayedName>({
  script: "losses",
  names: [
    ...Object.keys(LOSS_SITUATIONS) as readonly LossSituationName[],
    "drawn",
  ],
  play,
});

async function play(
  { name, daemons, ...run }: SituationRun<PlayedName>,
): Promise<void> {
  const size = daemons === undefined ? {} : { daemons };
  const situation = name === "drawn"
    ? undefined
    : { ...LOSS_SITUATIONS[name], ...size };
  const result = situation === undefined
    ? await runDrawnLosses({ ...run, ...size })
    : await runLosses({ ...run, situation });
  const targets = situation?.targets ?? STREAM_TARGETS;
  const { streams, mixed, broken, resumable, others, newStreams } = result;
  const answers = [...result.answers].sort().map(([status, count]) =>
    `${status}: ${count}`
  );
  printText(
    `${name}, seed ${run.seed}: ${streams} streams, ${mixed} of two versions, ` +
      `${broken} with a gap or repeat; went on: ${describe(resumable)} ` +
      `whose version has two endpoints, ${describe(others)} others; ` +
      `${newStreams.begun} of ${newStreams.sent} new ones began`,
  );
  printText(
    `  resumed attempts (${answers.join(", ")}): ` +
      `${result.slowRefusals} refused late, ` +
      `slowest after ${result.slowestRefusalMilliseconds} ms; ` +
      `${result.otherRefusals} refused without 503; ` +
      `${result.refusedPieces} pieces of refused ones reached stages`,
  );
  for (const target of findBrokenTargets(result, targets)) {
    printText(`  BROKEN: ${target}`);
    process.exitCode = EXIT_CHECK_FAILED;
  }
}

function describe({ wentOn, cameBack }: ResumedCount): string {
  return `${wentOn} of ${cameBack}`;
}
