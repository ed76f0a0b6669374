import type { CliContext } from "../cli_context.ts";
import type { CliCommand } from "../commands/cli_command.ts";
import type { CommandResult } from "../commands/command_result.ts";
import type { ReportValues } from "./report_arguments.ts";
import type { SiteRecords } from "./site_records.ts";
import { command } from "cmd-ts";
import { KelpsparError } from "kelpspar-shared";
import { runCommand } from "../commands/run_command.ts";
import { createOperatorClient } from "../operator/create_operator_client.ts";
import { collectRecords } from "./collect_records.ts";
import { createReportPage } from "./create_report_page.ts";
import { formatReport } from "./format_report.ts";
import { loadRecords } from "./load_records.ts";
import { reportArguments } from "./report_arguments.ts";
import { createReportSections } from "./report_sections.ts";
import { createSiteReport } from "./site_report.ts";
import { writeText } from "./write_text.ts";

/** `kelpspar report`. */
export function createSiteReportCommand(context: CliContext): CliCommand {
  return command({
    name: "report",
    description: "Show times, attainment and cost by client account and class",
    args: reportArguments,
    handler: (values) =>
      runCommand(
        { context, json: values.json },
        () => runReport(context, values),
      ),
  });
}

async function runReport(
  context: CliContext,
  values: ReportValues,
): Promise<CommandResult> {
  const records = await loadOrCollectRecords(context, values);
  const report = createSiteReport(records);
  const sections = createReportSections(report);
  const written: string[] = [];
  if (values.save !== undefined) {
    await writeText(values.save, `${JSON.stringify(records, null, 2)}\n`);
    written.push(`Saved the answers in "${values.save}"`);
  }
  if (values.output !== undefined) {
    const page = await createReportPage(report, sections);
    await writeText(values.output, page);
    written.push(`Wrote the page "${values.output}"`);
  }
  const text = [formatReport(report, sections), ...written].join("\n\n");
  return { data: report, text };
}

async function loadOrCollectRecords(
  context: CliContext,
  values: ReportValues,
): Promise<SiteRecords> {
  if (values.records === undefined) {
    const client = await createOperatorClient(context, values);
    return await collectRecords(client, context.timer);
  }
  if (values.daemons.length > 0 || values.save !== undefined) {
    throw new KelpsparError(
      "usage",
      "Cannot use --records together with --daemon or --save",
    );
  }
  return await loadRecords(context, values.records);
}
