import type { MergedHistogram } from "./merge_histograms.ts";
import type { Plot } from "./plot.ts";
import type { StageCostFigures } from "./stage_costs.ts";
import { chooseRows, describeChoice } from "./plot.ts";
import { sumCostsByStage } from "./stage_costs.ts";

const WIDTH = 640;
const ROW_STEP = 18;
const MOST_COLOURED_ACCOUNTS = 9;
const OTHER_ACCOUNTS = "(all others)";
const PERCENTILES = ["p50", "p95", "p99"] as const;
const FRAME = { width: WIDTH, height: { step: ROW_STEP } } as const;
// Labels that were cut to a width would lose their end, which tells the stages
// of a client account apart; a limit of 0 leaves them whole.
const NO_LIMIT = 0;
const ROW_AXIS = {
  field: "label",
  type: "nominal",
  sort: null,
  title: null,
  axis: { labelLimit: NO_LIMIT },
} as const;

/** Attainment in percent, the lowest first. */
export function plotAttainment(rows: readonly MergedHistogram[]): Plot {
  const values = chooseRows(rows, (row) => -row.mean).map((row) => ({
    label: labelOf(row),
    attainment: row.mean,
  }));
  return {
    caption: `Attainment, percent${
      describeChoice(rows.length, "lowest attainment")
    }`,
    specification: {
      ...FRAME,
      data: { values },
      mark: "bar",
      encoding: {
        y: ROW_AXIS,
        x: {
          field: "attainment",
          type: "quantitative",
          title: "percent",
          scale: { domain: [0, 100] },
        },
      },
    },
  };
}

/** Percentiles of a time in milliseconds, the largest p99 first. */
export function plotTimes(
  subject: string,
  rows: readonly MergedHistogram[],
): Plot {
  const values = chooseRows(rows, (row) => row.p99).flatMap((row) =>
    PERCENTILES.map((percentile) => ({
      label: labelOf(row),
      percentile,
      milliseconds: row[percentile],
    }))
  );
  return {
    caption: `${subject}, milliseconds${
      describeChoice(rows.length, "largest p99")
    }`,
    specification: {
      ...FRAME,
      data: { values },
      encoding: {
        y: ROW_AXIS,
        x: { field: "milliseconds", type: "quantitative" },
      },
      layer: [
        {
          mark: { type: "line", color: "#bbb" },
          encoding: { detail: { field: "label" } },
        },
        {
          mark: { type: "point", filled: true, size: 50, opacity: 1 },
          encoding: { color: { field: "percentile", type: "nominal" } },
        },
      ],
    },
  };
}

/** Runner-milliseconds by stage, parted by client account. */
export function plotCosts(costs: readonly StageCostFigures[]): Plot {
  const sums = sumCostsByStage(costs);
  const labels = chooseRows(sums, (sum) => sum.runnerMilliseconds)
    .map(stageLabelOf);
  const shown = new Set(labels);
  const coloured = findLargestAccounts(costs);
  const values = costs.filter((cost) => shown.has(stageLabelOf(cost))).map((
    cost,
  ) => ({
    label: stageLabelOf(cost),
    account: coloured.has(cost.account) ? cost.account : OTHER_ACCOUNTS,
    runnerMilliseconds: cost.runnerMilliseconds,
  }));
  return {
    caption: `Runner-milliseconds by class and stage${
      describeChoice(sums.length, "largest cost")
    }`,
    specification: {
      ...FRAME,
      data: { values },
      mark: "bar",
      encoding: {
        y: { ...ROW_AXIS, sort: [...labels] },
        x: {
          field: "runnerMilliseconds",
          type: "quantitative",
          aggregate: "sum",
          title: "runner-milliseconds",
        },
        color: {
          field: "account",
          type: "nominal",
          title: "client account",
          legend: { labelLimit: NO_LIMIT },
        },
      },
    },
  };
}

/** More colours than these could not be told apart. */
function findLargestAccounts(
  costs: readonly StageCostFigures[],
): ReadonlySet<string> {
  const sums = new Map<string, number>();
  for (const { account, runnerMilliseconds } of costs) {
    sums.set(account, (sums.get(account) ?? 0) + runnerMilliseconds);
  }
  const sorted = [...sums].sort(([, left], [, right]) => right - left);
  return new Set(
    sorted.slice(0, MOST_COLOURED_ACCOUNTS).map(([account]) => account),
  );
}

function labelOf(histogram: MergedHistogram): string {
  const { account, class: className, stage } = histogram;
  const parts = [account, className, ...(stage === undefined ? [] : [stage])];
  return parts.join(" / ");
}

function stageLabelOf(
  cost: Pick<StageCostFigures, "class" | "stage">,
): string {
  return `${cost.class} / ${cost.stage}`;
}
