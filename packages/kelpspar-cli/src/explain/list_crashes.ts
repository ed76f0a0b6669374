import type { LogLine } from "./log_line.ts";
import { partsOf } from "./parts_of.ts";

/** A crash of an endpoint that a part of prompts was at. */
export interface ReportedCrash {
  /** Id and start of the endpoint, as in the daemons' lines. */
  readonly crash: string;
  /** Daemons that saw it, each with how long its answer had written. */
  readonly reporters: readonly string[];
  /** Daemons whose answers cleared the part of it. */
  readonly clearedBy: readonly string[];
  /** Those whose answers crashed their endpoints afterwards. */
  readonly disprovedBy: readonly string[];
}

/**
 * Lists the crashes that lines about a part report, oldest first. `lines` must
 * be sorted by time.
 */
export function listCrashes(
  part: string,
  lines: readonly LogLine[],
): readonly ReportedCrash[] {
  const reporters = new Map<string, string[]>();
  for (const line of lines) {
    const { endpoint, bornAt, isReported } = line;
    if (isReported !== true || !partsOf(line).includes(part)) continue;
    const crash = `${endpoint} born ${bornAt}`;
    const progress = line.wroteMilliseconds === undefined
      ? `sent ${line.sentMillisecondsAgo ?? 0} ms before`
      : `wrote for ${line.wroteMilliseconds} ms`;
    const reporter = `${line.daemon} (${progress}, counts ${line.weight ?? 0})`;
    reporters.set(crash, [...reporters.get(crash) ?? [], reporter]);
  }
  return [...reporters].map(([crash, found]) => ({
    crash,
    reporters: found,
    clearedBy: listAnswers("prompt parts cleared", { part, crash, lines }),
    disprovedBy: listAnswers("clearing answer crashed its endpoint", {
      part,
      crash,
      lines,
    }),
  }));
}

/** Lists the answers that lines with this message name for a part and crash. */
function listAnswers(message: string, { part, crash, lines }: {
  readonly part: string;
  readonly crash: string;
  readonly lines: readonly LogLine[];
}): readonly string[] {
  return lines.filter((line) =>
    line.message === message &&
    partsOf(line).includes(part) &&
    line.crashes?.split(",").includes(crash)
  ).map(({ daemon, attempt = "" }) => `${daemon} ${attempt}`.trim());
}
