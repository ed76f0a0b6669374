import type { CrowdKindName } from "../crowds/crowd_kinds.ts";
import type { CrowdSituation } from "../crowds/crowd_situation.ts";
import { SeededRandom } from "kelpspar-shared";
import { appendFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { CROWD_KIND_NAMES } from "../crowds/crowd_kinds.ts";
import { drawCrowds } from "../crowds/draw_crowds.ts";
import { runCrowds } from "../crowds/run_crowds.ts";
import { exitOnSignals } from "../process/owned_processes.ts";
import { readRunCommand } from "../wire/build_program.ts";
import { readCount } from "./read_count.ts";
import { printText } from "./read_settings.ts";

const EXIT_CHECK_FAILED = 1;
const EXIT_USAGE = 64;
const USAGE =
  "npm run crowds -- [--seed N] [--seeds COUNT] [--kinds NAME,...] [--memory MB] [--seconds S] [--log FILE]";
/** Spreads seeds, since the first draws of near ones are alike. */
const SEED_FACTOR = 0x9e3779b1;
const ROOT = fileURLToPath(new URL("../../../../", import.meta.url));

exitOnSignals();
try {
  const { values } = parseArgs({
    options: {
      seed: { type: "string", default: "1" },
      seeds: { type: "string", default: "1" },
      kinds: { type: "string" },
      memory: { type: "string" },
      seconds: { type: "string" },
      log: { type: "string" },
      help: { type: "boolean", default: false },
    },
  });
  if (values.help) printText(USAGE);
  else {
    const { kinds, memory, seconds } = values;
    const names = kinds === undefined ? CROWD_KIND_NAMES : readKinds(kinds);
    const fixed = {
      ...memory === undefined
        ? {}
        : { memoryMegabytes: readCount("memory", memory) },
      ...seconds === undefined
        ? {}
        : { seconds: readCount("seconds", seconds) },
    };
    const seed = readCount("seed", values.seed);
    const seeds = readCount("seeds", values.seeds);
    for (let current = seed; current < seed + seeds; current++) {
      const situation = drawCrowds(
        new SeededRandom(Math.imul(current, SEED_FACTOR)),
        names,
      );
      await play(current, { ...situation, ...fixed }, values.log);
    }
    process.exit();
  }
} catch (error) {
  if (!(error instanceof TypeError)) throw error;
  printText(`${error.message}. Usage: ${USAGE}`);
  process.exitCode = EXIT_USAGE;
}

function readKinds(text: string): readonly CrowdKindName[] {
  return text.split(",").map((name) => {
    const known = CROWD_KIND_NAMES.find((found) => found === name);
    if (known !== undefined) return known;
    throw new TypeError(
      `--kinds takes names out of ${
        CROWD_KIND_NAMES.join(", ")
      }, not "${name}"`,
    );
  });
}

async function play(
  seed: number,
  situation: CrowdSituation,
  log: string | undefined,
): Promise<void> {
  const { program, nodeArguments } = readRunCommand(ROOT);
  const { peakMb, peakDescriptors, broken } = await runCrowds({
    situation,
    program: { path: join(ROOT, program), nodeArguments },
    ...(log === undefined
      ? {}
      : { onLine: (line) => appendFileSync(log, `${line}\n`) }),
  });
  const {
    crowds,
    daemons,
    memoryMegabytes,
    maximumDescriptors,
    stopSeconds,
    store,
  } = situation;
  const kinds = crowds.map(({ kind, connections }) => `${connections} ${kind}`);
  printText(
    `seed ${seed}: ${kinds.join(", ")} at ${daemons} daemon(s)` +
      `${stopSeconds === undefined ? "" : ", one stopped"}` +
      `${store === "none" ? "" : `, store ${store}`}: ` +
      `${peakMb} MB of ${memoryMegabytes}, ${peakDescriptors} descriptors of ` +
      `${maximumDescriptors}${
        broken.map((line) => ` | BROKEN ${line}`).join("")
      }`,
  );
  if (broken.length > 0) process.exitCode = EXIT_CHECK_FAILED;
}
