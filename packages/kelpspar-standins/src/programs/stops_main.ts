import type { StopSituation } from "../stops/stop_situation.ts";
import { SeededRandom } from "kelpspar-shared";
import { appendFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { checkStops } from "../stops/check_stops.ts";
import { drawSituation } from "../stops/draw_situation.ts";
import { runStops } from "../stops/run_stops.ts";
import {
  STOP_SITUATION_NAMES,
  stopSituation,
} from "../stops/stop_situations.ts";
import { exitOnSignals } from "../process/owned_processes.ts";
import { readCount } from "./read_count.ts";
import { printText } from "./read_settings.ts";

const EXIT_CHECK_FAILED = 1;
const EXIT_USAGE = 64;
const USAGE =
  "npm run stops -- [--seed N] [--seeds COUNT] [--situations NAME,...] [--sticky N] [--log FILE]";
const PROGRAM = fileURLToPath(
  new URL("../../../../target/start_daemon.cjs", import.meta.url),
);

/** One run and its label in the output. */
interface StopRun {
  readonly label: string;
  readonly seed: number;
  readonly situation: StopSituation;
}

exitOnSignals();
try {
  const { values } = parseArgs({
    options: {
      seed: { type: "string", default: "1" },
      seeds: { type: "string", default: "1" },
      situations: { type: "string" },
      sticky: { type: "string" },
      log: { type: "string" },
      help: { type: "boolean", default: false },
    },
  });
  if (values.help) printText(USAGE);
  else {
    const seed = readCount("seed", values.seed);
    const runs = values.situations === undefined
      ? drawRuns(seed, readCount("seeds", values.seeds))
      : namedRuns(values.situations, {
        seed,
        seeds: readCount("seeds", values.seeds),
      });
    const sticky = values.sticky === undefined
      ? {}
      : { stickyCallers: Number(values.sticky) };
    for (const run of runs) {
      const situation = { ...run.situation, ...sticky };
      await play({ ...run, situation }, values.log);
    }
    process.exit();
  }
} catch (error) {
  if (!(error instanceof TypeError)) throw error;
  printText(`${error.message}. Usage: ${USAGE}`);
  process.exitCode = EXIT_USAGE;
}

function drawRuns(seed: number, seeds: number): readonly StopRun[] {
  return Array.from({ length: seeds }, (_, index) => {
    const drawn = drawSituation(new SeededRandom(seed + index));
    return {
      label: `seed ${seed + index}`,
      seed: seed + index,
      situation: drawn,
    };
  });
}

function namedRuns(
  text: string,
  { seed, seeds }: { readonly seed: number; readonly seeds: number },
): readonly StopRun[] {
  const names = text === "all" ? STOP_SITUATION_NAMES : text.split(",");
  const situations = names.map((name) => {
    const known = STOP_SITUATION_NAMES.find((found) => found === name);
    if (known === undefined) {
      throw new TypeError(
        `--situations takes names out of ${
          STOP_SITUATION_NAMES.join(", ")
        } or "all", not "${name}"`,
      );
    }
    return { name, situation: stopSituation(known) };
  });
  return Array.from(
    { length: seeds },
    (_, index) =>
      situations.map(({ name, situation }) => ({
        label: seeds === 1 ? name : `${name}, seed ${seed + index}`,
        seed: seed + index,
        situation,
      })),
  ).flat();
}

async function play(
  { label, seed, situation }: StopRun,
  logPath: string | undefined,
): Promise<void> {
  const records = await runStops({
    seed,
    situation,
    program: { path: PROGRAM, nodeArguments: [] },
    ...(logPath === undefined
      ? {}
      : { onLine: (line) => appendFileSync(logPath, `${line}\n`) }),
  });
  const verdict = checkStops(records);
  const { sent, whole, refused, failed, notConnected, cut, violations } =
    verdict;
  const { refusedWithin } = verdict;
  printText(
    `${label}: ${sent} sent, ${whole} whole, ${refused} refused ` +
      `(95 in 100 within ${refusedWithin} ms), ` +
      `${failed} failed, ${notConnected} not connected, ${cut} cut with an ` +
      `excuse, ${violations.length} promises broken`,
  );
  if (violations.length === 0) return;
  printText(`  ${JSON.stringify(situation)}`);
  for (const line of violations) printText(`  BROKEN ${line}`);
  process.exitCode = EXIT_CHECK_FAILED;
}
