import { accountsSchema } from "../operator/answers.ts";
import { readAnswer } from "../operator/read_answer.ts";
import { formatTable } from "../output/format_table.ts";
import { createQueryCommand } from "./query_command.ts";

const COLUMNS = [
  "id",
  "share",
  "usageShare",
  "queued",
  "running",
  "completed",
  "failed",
  "refused",
  "attainment",
];

/** `kelpspar accounts`. */
export const createAccountsCommand = createQueryCommand({
  name: "accounts",
  description: "Show the share and the usage of each client account",
  path: "/v1/operator/accounts",
  format: (answer) =>
    formatTable(readAnswer(accountsSchema, answer).accounts, COLUMNS),
});
