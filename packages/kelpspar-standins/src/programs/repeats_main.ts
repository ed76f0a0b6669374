import type { RepeatSituationName } from "../repeats/repeat_situation.ts";
import type { SituationRun } from "./play_situations.ts";
import { fileURLToPath } from "node:url";
import { REPEAT_SITUATIONS } from "../repeats/repeat_situation.ts";
import { runRepeats } from "../repeats/run_repeats.ts";
import { playSituations } from "./play_situations.ts";
import { printText } from "./read_settings.ts";

const EXIT_CHECK_FAILED = 1;
const PARTITION_HOOK = fileURLToPath(
  new URL("../wire/partition_hook.js", import.meta.url),
);

await playSituations({
  script: "repeats",
  names: Object.keys(REPEAT_SITUATIONS) as readonly RepeatSituationName[],
  play,
});

async function play(
  { name, daemons, ...run }: SituationRun<RepeatSituationName>,
): Promise<void> {
  const { services, sent, whole, answers } = await runRepeats({
    ...run,
    situation: {
      ...REPEAT_SITUATIONS[name],
      ...(daemons === undefined ? {} : { daemons }),
    },
    partitionHook: PARTITION_HOOK,
  });
  const statuses = [...answers].sort().map(([status, count]) =>
    `${status}: ${count}`
  );
  printText(
    `${name}, seed ${run.seed}: ` +
      `${whole} of ${sent} whole (${statuses.join(", ")})`,
  );
  for (const { service, basis, worst } of services) {
    printText(
      `  ${service}, by ${basis}: ${worst.repeats} repeats of ` +
        `${Math.floor(worst.allowed)} allowed in the worst window` +
        `${worst.isExceeded ? " (EXCEEDED)" : ""}`,
    );
    if (worst.isExceeded) process.exitCode = EXIT_CHECK_FAILED;
  }
}
