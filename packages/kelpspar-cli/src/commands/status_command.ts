import { statusSchema } from "../operator/answers.ts";
import { readAnswer } from "../operator/read_answer.ts";
import { formatTable } from "../output/format_table.ts";
import { createQueryCommand } from "./query_command.ts";

const COLUMNS = [
  "daemonId",
  "state",
  "revision",
  "address",
  "port",
  "availabilityZone",
  "inFlight",
  "uptimeMilliseconds",
];

/** `kelpspar status`. */
export const createStatusCommand = createQueryCommand({
  name: "status",
  description: "Show the site's revision and its daemons",
  path: "/v1/operator/status",
  format: (answer) => {
    const status = readAnswer(statusSchema, answer);
    const heading = `Site "${status.site}", revision ${status.revision}`;
    return `${heading}\n${formatTable(status.daemons, COLUMNS)}`;
  },
});
