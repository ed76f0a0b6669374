import type { SoakFaultName } from "../soak/soak_faults.ts";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { runSoak } from "../soak/run_soak.ts";
import { SOAK_FAULT_NAMES } from "../soak/soak_faults.ts";
import { exitOnSignals } from "../process/owned_processes.ts";
import { readCount } from "./read_count.ts";
import { printText } from "./read_settings.ts";

const EXIT_CHECK_FAILED = 1;
const EXIT_USAGE = 64;
const USAGE =
  "npm run soak -- [--seed N] [--seeds COUNT] [--seconds S] [--daemons N] [--calm] [--faults NAME,...]";
const PROGRAM = fileURLToPath(
  new URL("../../../../target/start_daemon.cjs", import.meta.url),
);

const PARTITION_HOOK = fileURLToPath(
  new URL("../wire/partition_hook.js", import.meta.url),
);

/** The parsed command line. */
interface SoakArguments {
  readonly seed: number;
  readonly seeds: number;
  readonly seconds: number;
  readonly daemons: number;
  readonly faults: readonly SoakFaultName[];
}

exitOnSignals();
try {
  const { values } = parseArgs({
    options: {
      seed: { type: "string", default: "1" },
      seeds: { type: "string", default: "1" },
      seconds: { type: "string", default: "12" },
      daemons: { type: "string", default: "3" },
      calm: { type: "boolean", default: false },
      faults: { type: "string", default: SOAK_FAULT_NAMES.join(",") },
      help: { type: "boolean", default: false },
    },
  });
  if (values.help) printText(USAGE);
  else {
    await run({
      seed: readCount("seed", values.seed),
      seeds: readCount("seeds", values.seeds),
      seconds: readCount("seconds", values.seconds),
      daemons: readCount("daemons", values.daemons),
      faults: values.calm ? [] : readFaults(values.faults),
    });
    // Exits explicitly: a connection left open by a proxy would otherwise keep
    // the process alive.
    process.exit();
  }
} catch (error) {
  if (!(error instanceof TypeError)) throw error;
  printText(`${error.message}. Usage: ${USAGE}`);
  process.exitCode = EXIT_USAGE;
}

function readFaults(text: string): readonly SoakFaultName[] {
  const known: ReadonlyMap<string, SoakFaultName> = new Map(
    SOAK_FAULT_NAMES.map((name) => [name, name]),
  );
  return text.split(",").map((name) => {
    const found = known.get(name);
    if (found !== undefined) return found;
    throw new TypeError(
      `--faults takes names out of ${
        SOAK_FAULT_NAMES.join(", ")
      }, not "${name}"`,
    );
  });
}

async function run(options: SoakArguments): Promise<void> {
  for (let index = 0; index < options.seeds; index++) {
    const seed = options.seed + index;
    const verdict = await runSoak({
      seed,
      seconds: options.seconds,
      daemons: options.daemons,
      program: PROGRAM,
      partitionHook: PARTITION_HOOK,
      faults: options.faults,
      print: (line) => printText(`  ${line}`),
    });
    const { submitted: requests, served, refused, violations } = verdict;
    const { resumes, resumed } = verdict;
    printText(
      `Seed ${seed}: ${requests} requests, ${served} served, ` +
        `${refused} refused, ${resumed} of ${resumes} streams taken up, ` +
        `${violations.length} promises broken`,
    );
    for (const [reason, count] of verdict.refusals) {
      printText(`  ${count} refused: ${reason}`);
    }
    for (const line of violations) printText(`  BROKEN ${line}`);
    if (violations.length > 0) process.exitCode = EXIT_CHECK_FAILED;
  }
}
