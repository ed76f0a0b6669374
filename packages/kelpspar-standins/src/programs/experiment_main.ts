import type { ArmName } from "../experiments/arm.ts";
import type { Experiment } from "../experiments/experiment.ts";
import { parseArgs } from "node:util";
import { SystemTimer } from "kelpspar-shared";
import { ARMS } from "../experiments/arm.ts";
import { EXPERIMENTS } from "../experiments/experiments.ts";
import { renderFigures } from "../experiments/render_figures.ts";
import { runExperiment } from "../experiments/run_experiment.ts";
import { exitOnSignals } from "../process/owned_processes.ts";
import { printLine, printText } from "./read_settings.ts";

const USAGE_EXIT_CODE = 64;

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    arm: { type: "string", default: "both" },
    variant: { type: "string" },
    seed: { type: "string", default: "1" },
    seconds: { type: "string" },
    json: { type: "boolean", default: false },
  },
});

exitOnSignals();

const experiment = EXPERIMENTS.get(positionals[0] ?? "");
const arms = ARMS.filter((arm) => values.arm === "both" || values.arm === arm);
if (experiment === undefined || arms.length === 0) printUsage();
else await runAll(experiment, arms);

async function runAll(
  selected: Experiment,
  selectedArms: readonly ArmName[],
): Promise<void> {
  const timer = new SystemTimer();
  for (const run of selected.runs) {
    if (!selectedArms.includes(run.arm)) continue;
    if (values.variant !== undefined && values.variant !== run.variant) {
      continue;
    }
    const figures = await runExperiment(selected, run, {
      seed: Number(values.seed),
      timer,
      ...(values.seconds === undefined
        ? {}
        : { seconds: Number(values.seconds) }),
    });
    if (values.json) printLine(figures);
    else printText(renderFigures(figures));
  }
}

function printUsage(): void {
  printText(
    "npm run experiment -- NAME [--arm naive|kelpspar|both] " +
      "[--variant V] [--seed N] [--seconds S] [--json]\n",
  );
  for (const { name, question } of EXPERIMENTS.values()) {
    printText(`  ${name.padEnd(20)} ${question}`);
  }
  process.exitCode = USAGE_EXIT_CODE;
}
