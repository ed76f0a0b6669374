import type { PauseResult } from "../pauses/run_pauses.ts";
import type { PauseSituationName } from "../pauses/pause_situation.ts";
import type { SituationRun } from "./play_situations.ts";
import { drawPauseSituation } from "../pauses/draw_pause_situation.ts";
import { PAUSE_SITUATIONS } from "../pauses/pause_situation.ts";
import { runPauses } from "../pauses/run_pauses.ts";
import { playSituations } from "./play_situations.ts";
import { printServices } from "./print_services.ts";
import { printText } from "./read_settings.ts";

const EXIT_CHECK_FAILED = 1;

/** A situation, or one that is drawn. */
type PlayedName = PauseSituationName | "drawn";

await playSituations<PlayedName>({
  script: "pauses",
  names: [
    ...Object.keys(PAUSE_SITUATIONS) as readonly PauseSituationName[],
    "drawn",
  ],
  play,
});

async function play(
  { name, daemons, ...run }: SituationRun<PlayedName>,
): Promise<void> {
  const situation = name === "drawn"
    ? drawPauseSituation(run.seed)
    : PAUSE_SITUATIONS[name];
  const result = await runPauses({
    ...run,
    situation: { ...situation, ...(daemons === undefined ? {} : { daemons }) },
  });
  printText(`${name}, seed ${run.seed}: ${describe(result)}`);
  for (const line of result.violations) printText(`  BROKEN ${line}`);
  const isExceeded = printServices(result.services);
  if (result.violations.length > 0 || isExceeded) {
    process.exitCode = EXIT_CHECK_FAILED;
  }
}

function describe(result: PauseResult): string {
  const { sent, ends, runs, doubled, gaps, repeats, joined } = result;
  return `${sent} streams, ${ends.whole} whole ` +
    `(median ${result.medianMilliseconds} ms, 95 in 100 within ` +
    `${result.slowMilliseconds} ms), ${ends.cut} cut, ` +
    `${ends.cut_by_endpoint} cut with their endpoint, ` +
    `${ends.cut_by_stop} with a stop, ${ends.timed_out} timed out, ` +
    `${ends.refused} refused, ${ends.failed} failed, ` +
    `${ends.unanswered} unanswered; ${runs} runs, ${doubled} doubled; ` +
    `${gaps} gaps, ${repeats} repeats, ${joined} joined`;
}
