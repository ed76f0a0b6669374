import type { MergedHistogram } from "./merge_histograms.ts";
import type { ReportRow, ReportSection } from "./report_section.ts";
import type { SiteReport } from "./site_report.ts";
import type { StageCostFigures } from "./stage_costs.ts";
import { plotAttainment, plotCosts, plotTimes } from "./plots.ts";
import { sumCostsByStage } from "./stage_costs.ts";

const CLASS_COLUMNS = ["account", "class"];
const STAGE_COLUMNS = [...CLASS_COLUMNS, "stage"];
const TIME_COLUMNS = ["count", "mean", "p50", "p95", "p99", "maximum"];
const COST_COLUMNS = [
  "requests",
  "runner-ms per request",
  "runner-ms in all",
  "tokens per request",
  "tokens in all",
];

/** Creates the sections of a report. */
export function createReportSections(
  report: SiteReport,
): readonly ReportSection[] {
  return [
    createAttainmentSection(report),
    createAccountSection(report),
    createTimeSection(report, {
      name: "request_milliseconds",
      title: "Request time by client account and class",
    }),
    createTimeSection(report, {
      name: "queue_milliseconds",
      title: "Queue time by client account, class and stage",
    }),
    createTimeSection(report, {
      name: "stage_milliseconds",
      title: "Stage time by client account, class and stage",
    }),
    createCostSection(report),
    createAccountCostSection(report),
  ];
}

function createAttainmentSection(report: SiteReport): ReportSection {
  const histograms = findHistograms(report, "attainment");
  return {
    title:
      "Attainment by client account and class, of the requests not refused",
    columns: [...CLASS_COLUMNS, "requests", "percent"],
    rows: histograms.map((histogram) => ({
      account: histogram.account,
      class: histogram.class,
      requests: histogram.count,
      percent: histogram.mean,
    })),
    plot: plotAttainment(histograms),
  };
}

function createAccountSection(report: SiteReport): ReportSection {
  return {
    title: "Attainment by client account, refused requests counted as missed",
    columns: ["account", "share", "completed", "failed", "refused", "percent"],
    rows: report.accounts.map(({ id, attainment, ...figures }) => ({
      account: id,
      ...figures,
      percent: attainment === null ? null : attainment * 100,
    })),
  };
}

function createTimeSection(
  report: SiteReport,
  options: { readonly name: string; readonly title: string },
): ReportSection {
  const histograms = findHistograms(report, options.name);
  const hasStages = histograms.some(({ stage }) => stage !== undefined);
  return {
    title: `${options.title}, milliseconds${describePercentiles(report)}`,
    columns: [...(hasStages ? STAGE_COLUMNS : CLASS_COLUMNS), ...TIME_COLUMNS],
    rows: histograms.map(toTimeRow),
    plot: plotTimes(options.title, histograms),
  };
}

function createCostSection(report: SiteReport): ReportSection {
  return {
    title: "Cost by stage",
    columns: ["class", "stage", ...COST_COLUMNS],
    rows: sumCostsByStage(report.costs).map((cost) => ({
      class: cost.class,
      stage: cost.stage,
      ...toCostCells(cost),
    })),
    plot: plotCosts(report.costs),
  };
}

function createAccountCostSection(report: SiteReport): ReportSection {
  return {
    title: "Cost by client account, class and stage",
    columns: [...STAGE_COLUMNS, ...COST_COLUMNS],
    rows: report.costs.map((cost) => ({
      account: cost.account,
      class: cost.class,
      stage: cost.stage,
      ...toCostCells(cost),
    })),
  };
}

function findHistograms(
  report: SiteReport,
  name: string,
): readonly MergedHistogram[] {
  return report.histograms.filter((histogram) => histogram.name === name);
}

/** Percentiles of one daemon are exact; those of several are upper bounds. */
function describePercentiles(report: SiteReport): string {
  const count = report.daemons.length;
  if (count === 1) return "";
  return `; percentiles are the largest of ${count} daemons, not those of all values`;
}

function toTimeRow(histogram: MergedHistogram): ReportRow {
  const { account, class: className, stage, count, mean } = histogram;
  const { p50, p95, p99, maximum } = histogram;
  const cells = { count, mean, p50, p95, p99, maximum };
  return { account, class: className, stage: stage ?? null, ...cells };
}

function toCostCells(cost: Omit<StageCostFigures, "account">): ReportRow {
  return {
    requests: cost.requests,
    "runner-ms per request": cost.runnerMillisecondsPerRequest,
    "runner-ms in all": cost.runnerMilliseconds,
    "tokens per request": cost.tokensPerRequest,
    "tokens in all": cost.tokens,
  };
}
