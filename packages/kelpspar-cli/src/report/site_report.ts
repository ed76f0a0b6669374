import type { AccountFigures } from "./account_figures.ts";
import type { MergedHistogram } from "./merge_histograms.ts";
import type { SilentDaemon, SiteRecords } from "./site_records.ts";
import type { StageCostFigures } from "./stage_costs.ts";
import { KelpsparError } from "kelpspar-shared";
import { sumAccounts } from "./account_figures.ts";
import { mergeHistograms } from "./merge_histograms.ts";
import { computeStageCosts } from "./stage_costs.ts";

/** The merged figures of a site, as printed by `--json`. */
export interface SiteReport {
  readonly site: string;
  /** The highest revision that a daemon reports. */
  readonly revision: number;
  /** As ISO 8601, by the clock of the VM that ran the command. */
  readonly collectedAt: string;
  /** The daemons whose figures are included, as `address:port`. */
  readonly daemons: readonly string[];
  readonly silentDaemons: readonly SilentDaemon[];
  /** The largest number of live daemons that a daemon reports. */
  readonly liveDaemons: number;
  readonly accounts: readonly AccountFigures[];
  readonly histograms: readonly MergedHistogram[];
  readonly costs: readonly StageCostFigures[];
}

/** Merges records. Throws KelpsparError, `usage`, if they are of two sites. */
export function createSiteReport(records: SiteRecords): SiteReport {
  const { daemons, silentDaemons, collectedAt } = records;
  const statuses = daemons.map(({ status }) => status);
  const histograms = mergeHistograms(
    daemons.flatMap((daemon) => daemon.histograms),
  );
  return {
    site: findSite(records),
    revision: Math.max(...statuses.map(({ revision }) => revision)),
    collectedAt: new Date(collectedAt).toISOString(),
    daemons: daemons.map(({ daemon }) => daemon),
    silentDaemons,
    liveDaemons: Math.max(
      ...statuses.map((status) =>
        status.daemons.filter(({ state }) => state === "live").length
      ),
    ),
    accounts: sumAccounts(daemons),
    histograms,
    costs: computeStageCosts(histograms),
  };
}

/** A daemon without a configuration reports no site name and is ignored. */
function findSite(records: SiteRecords): string {
  const sites = new Set(records.daemons.map(({ status }) => status.site));
  sites.delete("");
  if (sites.size > 1) {
    const names = [...sites].map((site) => `"${site}"`).join(", ");
    throw new KelpsparError(
      "usage",
      `Cannot merge the figures of different sites: ${names}`,
    );
  }
  return [...sites][0] ?? "";
}
