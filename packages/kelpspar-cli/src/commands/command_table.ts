import type { CreateCommand } from "./cli_command.ts";
import { createAccountsCommand } from "./accounts_command.ts";
import { createApplyCommand } from "./apply_command.ts";
import { createChangeCommand } from "./change_command.ts";
import { createDiffCommand } from "./diff_command.ts";
import { createDrainCommand } from "./drain_command.ts";
import { createEndpointsCommand } from "./endpoints_command.ts";
import { createExplainCommand } from "./explain_command.ts";
import { createHistoryCommand } from "./history_command.ts";
import { createRequestCommand } from "./request_command.ts";
import { createSchemaCommand } from "./schema_command.ts";
import { createStatusCommand } from "./status_command.ts";
import { createUndrainCommand } from "./undrain_command.ts";
import { createValidateCommand } from "./validate_command.ts";
import { createSiteReportCommand } from "../report/report_command.ts";

/** All commands by name, in the order in which the help lists them. */
export const COMMANDS: Readonly<Record<string, CreateCommand>> = {
  validate: createValidateCommand,
  diff: createDiffCommand,
  apply: createApplyCommand,
  history: createHistoryCommand,
  change: createChangeCommand,
  status: createStatusCommand,
  accounts: createAccountsCommand,
  endpoints: createEndpointsCommand,
  report: createSiteReportCommand,
  drain: createDrainCommand,
  undrain: createUndrainCommand,
  request: createRequestCommand,
  schema: createSchemaCommand,
  explain: createExplainCommand,
};
