import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { runSoak } from "../soak/run_soak.ts";
import { printText } from "./read_settings.ts";

const EXIT_BROKEN = 1;
const PROGRAM = fileURLToPath(
  new URL("../../../../target/start_daemon.cjs", import.meta.url),
);

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    seeds: { type: "string", default: "1" },
    seconds: { type: "string", default: "12" },
    calm: { type: "boolean", default: false },
  },
});

for (let index = 0; index < Number(values.seeds); index++) {
  const seed = Number(values.seed) + index;
  const verdict = await runSoak({
    seed,
    seconds: Number(values.seconds),
    program: PROGRAM,
    hasFaults: !values.calm,
    print: (line) => printText(`  ${line}`),
  });
  const { asked, served, refused, broken } = verdict;
  printText(
    `Seed ${seed}: ${asked} requests, ${served} served, ${refused} refused, ` +
      `${broken.length} promises broken`,
  );
  for (const line of broken) printText(`  BROKEN ${line}`);
  if (broken.length > 0) process.exitCode = EXIT_BROKEN;
}
