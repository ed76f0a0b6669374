import { endpointsSchema } from "../operator/answers.ts";
import { readAnswer } from "../operator/read_answer.ts";
import { formatTable } from "../output/format_table.ts";
import { createReportCommand } from "./query_command.ts";

const COLUMNS = [
  "endpointId",
  "service",
  "availabilityZone",
  "state",
  "reason",
  "running",
  "waiting",
  "inFlight",
  "limit",
  "concurrency",
  "models",
];

/** `kelpspar endpoints`. */
export const createEndpointsCommand = createReportCommand({
  name: "endpoints",
  description: "Show the endpoints as a daemon sees them",
  path: "/v1/operator/endpoints",
  format: (answer) =>
    formatTable(readAnswer(endpointsSchema, answer).endpoints, COLUMNS),
});
