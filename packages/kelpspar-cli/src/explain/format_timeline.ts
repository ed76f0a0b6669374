import type { ReportedCrash } from "./list_crashes.ts";
import type { LogLine } from "./log_line.ts";
import type { RequestTimeline } from "./explain_request.ts";

/** Fields that are shown at the start of a line, or not at all. */
const OMITTED_FIELDS: ReadonlySet<string> = new Set([
  "time",
  "level",
  "message",
  "daemon",
  "at",
]);

/** Formats a timeline as text. */
export function formatTimeline(timeline: RequestTimeline): string {
  if (timeline.own.length === 0) {
    return `No line names request "${timeline.id}"`;
  }
  return [
    `Request ${timeline.id}`,
    ...timeline.crashes.map(formatCrash),
    ...timeline.own.map((line) => formatLine(line, timeline.id)),
    "",
    "What its daemons learned around it",
    ...timeline.around.map((line) => formatLine(line, timeline.id)),
  ].join("\n");
}

function formatLine(line: LogLine, id: string): string {
  const fields = Object.entries(line)
    .filter(([name, value]) => !OMITTED_FIELDS.has(name) && value !== id)
    .map(([name, value]) => `${name}=${String(value)}`);
  const clock = line.time.slice(11, 23);
  return `  ${clock} ${line.daemon} ${line.message}: ${fields.join(" ")}`;
}

function formatCrash(
  { crash, reporters, clearedBy, disprovedBy }: ReportedCrash,
): string {
  const cleared = clearedBy.length === 0
    ? "not cleared"
    : `cleared by ${clearedBy.join(", ")}`;
  const disproved = disprovedBy.length === 0
    ? ""
    : `, of which ${disprovedBy.join(", ")} crashed their endpoints later`;
  const seen = `seen by ${reporters.join(", ")}`;
  return `  crash of ${crash}: ${seen}; ${cleared}${disproved}`;
}
