import type { RepeatSiteName } from "../repeats/repeat_site.ts";
import type {
  RepeatSituation,
  RepeatSituationName,
} from "../repeats/repeat_situation.ts";
import { appendFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { REPEAT_SITES } from "../repeats/repeat_site.ts";
import { REPEAT_SITUATIONS } from "../repeats/repeat_situation.ts";
import { runRepeats } from "../repeats/run_repeats.ts";
import { exitOnSignals } from "../process/owned_processes.ts";
import { readCount } from "./read_count.ts";
import { printText } from "./read_settings.ts";

const EXIT_CHECK_FAILED = 1;
const EXIT_USAGE = 64;
const USAGE =
  "npm run repeats -- [--situations NAME,...|all] [--seed N] [--seeds COUNT] [--daemons N] [--site NAME] [--program FILE] [--log FILE]";
const PROGRAM = fileURLToPath(
  new URL("../../../../target/start_daemon.cjs", import.meta.url),
);
const PARTITION_HOOK = fileURLToPath(
  new URL("../wire/partition_hook.js", import.meta.url),
);
const NAMES = Object.keys(REPEAT_SITUATIONS) as readonly RepeatSituationName[];

exitOnSignals();
try {
  const { values } = parseArgs({
    options: {
      situations: { type: "string", default: "all" },
      seed: { type: "string", default: "1" },
      seeds: { type: "string", default: "1" },
      daemons: { type: "string" },
      site: { type: "string" },
      program: { type: "string", default: PROGRAM },
      log: { type: "string" },
      help: { type: "boolean", default: false },
    },
  });
  if (values.help) printText(USAGE);
  else {
    const names = readNames(values.situations);
    const first = readCount("seed", values.seed);
    const count = readCount("seeds", values.seeds);
    const daemons = values.daemons === undefined
      ? {}
      : { daemons: readCount("daemons", values.daemons) };
    const site = values.site === undefined
      ? {}
      : { site: readSite(values.site), route: "mixed" as const };
    for (let seed = first; seed < first + count; seed++) {
      for (const name of names) {
        await play(name, { ...values, seed, changes: { ...daemons, ...site } });
      }
    }
    process.exit();
  }
} catch (error) {
  if (!(error instanceof TypeError)) throw error;
  printText(`${error.message}. Usage: ${USAGE}`);
  process.exitCode = EXIT_USAGE;
}

function readNames(text: string): readonly RepeatSituationName[] {
  if (text === "all") return NAMES;
  return text.split(",").map((name) => {
    const known = NAMES.find((found) => found === name);
    if (known !== undefined) return known;
    throw new TypeError(
      `--situations takes names out of ${
        NAMES.join(", ")
      } or "all", not "${name}"`,
    );
  });
}

function readSite(text: string): RepeatSiteName {
  const names = Object.keys(REPEAT_SITES) as readonly RepeatSiteName[];
  const mixed = names.filter((name) => REPEAT_SITES[name].mix.length > 0);
  const known = mixed.find((found) => found === text);
  if (known !== undefined) return known;
  throw new TypeError(
    `--site takes one of ${mixed.join(", ")}, not "${text}"`,
  );
}

async function play(
  name: RepeatSituationName,
  { seed, changes, program, log }: {
    readonly seed: number;
    /** Path of the daemon's program. */
    readonly program: string;
    readonly changes: Partial<RepeatSituation>;
    readonly log?: string | undefined;
  },
): Promise<void> {
  const { services, sent, whole, answers, resuming } = await runRepeats({
    seed,
    situation: { ...REPEAT_SITUATIONS[name], ...changes },
    program: { path: program, nodeArguments: [] },
    partitionHook: PARTITION_HOOK,
    ...(log === undefined
      ? {}
      : { onLine: (line) => appendFileSync(log, `${line}\n`) }),
  });
  const statuses = [...answers].sort().map(([status, count]) =>
    `${status}: ${count}`
  );
  printText(
    `${name}, seed ${seed}: ` +
      `${whole} of ${sent} whole (${statuses.join(", ")})` +
      (resuming > 0 ? `, ${resuming} take up a stream` : ""),
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
