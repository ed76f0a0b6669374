import type { PauseSituationName } from "../pauses/pause_situation.ts";
import type { SituationRun } from "./play_situations.ts";
import { PAUSE_SITUATIONS } from "../pauses/pause_situation.ts";
import { runPauses } from "../pauses/run_pauses.ts";
import { playSituations } from "./play_situations.ts";
import { printText } from "./read_settings.ts";

const EXIT_CHECK_FAILED = 1;

await playSituations({
  script: "pauses",
  names: Object.keys(PAUSE_SITUATIONS) as readonly PauseSituationName[],
  play,
});

async function play(
  { name, daemons, ...run }: SituationRun<PauseSituationName>,
): Promise<void> {
  const result = await runPauses({
    ...run,
    situation: {
      ...PAUSE_SITUATIONS[name],
      ...(daemons === undefined ? {} : { daemons }),
    },
  });
  const { ends } = result;
  printText(
    `${name}, seed ${run.seed}: ${result.sent} streams, ${ends.whole} whole ` +
      `(median ${result.medianMilliseconds} ms, 95 in 100 within ` +
      `${result.slowMilliseconds} ms), ${ends.cut} cut, ` +
      `${ends.cut_by_endpoint} ended with their endpoint, ` +
      `${ends.cut_by_stop} with a stop, ${ends.timed_out} timed out, ` +
      `${ends.refused} refused, ${ends.failed} failed, ` +
      `${ends.unanswered} unanswered; ${result.runs} runs, ` +
      `${result.doubled} doubled; ${result.gaps} gaps, ` +
      `${result.repeats} repeats, ${result.joined} joined`,
  );
  for (const line of result.violations) printText(`  BROKEN ${line}`);
  const exceeded = result.services.filter(({ worst }) => worst.isExceeded);
  for (const { service, basis, worst } of result.services) {
    printText(
      `  ${service}, by ${basis}: ${worst.repeats} repeats of ` +
        `${Math.floor(worst.allowed)} allowed in the worst window` +
        `${worst.isExceeded ? " (EXCEEDED)" : ""}`,
    );
  }
  if (result.violations.length > 0 || exceeded.length > 0) {
    process.exitCode = EXIT_CHECK_FAILED;
  }
}
