import type { MergedHistogram } from "./merge_histograms.ts";
import type { Plot } from "./plot.ts";
import type { StageCostFigures } from "./stage_costs.ts";
import { describeOmission, selectTopRows } from "./plot.ts";
import { sumCostsByStage } from "./stage_costs.ts";

const WIDTH = 640;
const ROW_STEP = 18;
const MAX_COLORED_ACCOUNTS = 9;
const OTHER_ACCOUNTS = "(all others)";
const PERCENTILES = ["p50", "p95", "p99"] as const;
const FRAME = { width: WIDTH, height: { step: ROW_STEP } } as const;
// Truncated labels would lose their end, which distinguishes the stages of a
// client account; a limit of 0 disables truncation.
const UNLIMITED_LABEL_WIDTH = 0;
const ROW_AXIS = {
  field: "label",
  type: "nominal",
  sort: null,
  title: null,
  axis: { labelLimit: UNLIMITED_LABEL_WIDTH },
} as const;

/** Plots attainment in percent, lowest first. */
export function plotAttainment(rows: readonly MergedHistogram[]): Plot {
  const values = selectTopRows(rows, (row) => -row.mean).map((row) => ({
    label: labelOf(row),
    attainment: row.mean,
  }));
  return {
    caption: `Attainment, percent${
      describeOmission(rows.length, "lowest attainment")
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

/** Plots percentiles of a duration in milliseconds, largest p99 first. */
export function plotTimes(
  subject: string,
  rows: readonly MergedHistogram[],
): Plot {
  const values = selectTopRows(rows, (row) => row.p99).flatMap((row) =>
    PERCENTILES.map((percentile) => ({
      label: labelOf(row),
      percentile,
      milliseconds: row[percentile],
    }))
  );
  return {
    caption: `${subject}, milliseconds${
      describeOmission(rows.length, "largest p99")
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

/** Plots runner-milliseconds by stage, split by client account. */
export function plotCosts(costs: readonly StageCostFigures[]): Plot {
  const sums = sumCostsByStage(costs);
  const labels = selectTopRows(sums, (sum) => sum.runnerMilliseconds)
    .map(stageLabelOf);
  const shown = new Set(labels);
  const colored = findLargestAccounts(costs);
  const values = costs.filter((cost) => shown.has(stageLabelOf(cost))).map((
    cost,
  ) => ({
    label: stageLabelOf(cost),
    account: colored.has(cost.account) ? cost.account : OTHER_ACCOUNTS,
    runnerMilliseconds: cost.runnerMilliseconds,
  }));
  return {
    caption: `Runner-milliseconds by class and stage${
      describeOmission(sums.length, "largest cost")
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
          legend: { labelLimit: UNLIMITED_LABEL_WIDTH },
        },
      },
    },
  };
}

/** Selects the accounts with their own color; more colors look too similar. */
function findLargestAccounts(
  costs: readonly StageCostFigures[],
): ReadonlySet<string> {
  const sums = new Map<string, number>();
  for (const { account, runnerMilliseconds } of costs) {
    sums.set(account, (sums.get(account) ?? 0) + runnerMilliseconds);
  }
  const sorted = [...sums].sort(([, left], [, right]) => right - left);
  return new Set(
    sorted.slice(0, MAX_COLORED_ACCOUNTS).map(([account]) => account),
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
