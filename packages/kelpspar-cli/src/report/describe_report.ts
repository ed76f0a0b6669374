import type { SiteReport } from "./site_report.ts";

/** Describes the origin of the figures, in the lines above the first table. */
export function describeReport(report: SiteReport): readonly string[] {
  const { site, revision, collectedAt, daemons, liveDaemons } = report;
  const silent = report.silentDaemons.map(({ daemon, message }) =>
    `No figures from "${daemon}": ${message}`
  );
  return [
    `Site "${site}", revision ${revision}, at ${collectedAt}`,
    `Figures of ${daemons.length} daemons since each started; the site has ${liveDaemons} live daemons`,
    ...silent,
  ];
}
