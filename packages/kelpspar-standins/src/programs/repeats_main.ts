import type { RepeatSiteName } from "../repeats/repeat_site.ts";
import type { RepeatSituationName } from "../repeats/repeat_situation.ts";
import type { SituationRun } from "./play_situations.ts";
import { fileURLToPath } from "node:url";
import { REPEAT_SITES } from "../repeats/repeat_site.ts";
import { REPEAT_SITUATIONS } from "../repeats/repeat_situation.ts";
import { runRepeats } from "../repeats/run_repeats.ts";
import { playSituations } from "./play_situations.ts";
import { printServices } from "./print_services.ts";
import { printText } from "./read_settings.ts";

const EXIT_CHECK_FAILED = 1;
const PARTITION_HOOK = fileURLToPath(
  new URL("../wire/partition_hook.js", import.meta.url),
);
const SITES = Object.keys(REPEAT_SITES) as readonly RepeatSiteName[];

await playSituations({
  script: "repeats",
  names: Object.keys(REPEAT_SITUATIONS) as readonly RepeatSituationName[],
  sites: SITES.filter((name) => REPEAT_SITES[name].mix.length > 0),
  play,
});

async function play(
  { name, daemons, site, ...run }: SituationRun<RepeatSituationName>,
): Promise<void> {
  const siteName = SITES.find((found) => found === site);
  const { services, sent, whole, answers, resuming } = await runRepeats({
    ...run,
    situation: {
      ...REPEAT_SITUATIONS[name],
      ...(daemons === undefined ? {} : { daemons }),
      ...(siteName === undefined ? {} : { site: siteName, route: "mixed" }),
    },
    partitionHook: PARTITION_HOOK,
  });
  const statuses = [...answers].sort().map(([status, count]) =>
    `${status}: ${count}`
  );
  printText(
    `${name}, seed ${run.seed}: ` +
      `${whole} of ${sent} whole (${statuses.join(", ")})` +
      (resuming > 0 ? `, ${resuming} take up a stream` : ""),
  );
  if (printServices(services)) process.exitCode = EXIT_CHECK_FAILED;
}
