import { endpointsSchema } from "../operator/answers.ts";
import { readAnswer } from "../operator/read_answer.ts";
import { formatTable } from "../output/format_table.ts";
import { createQueryCommand } from "./query_command.ts";

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
export const createEndpointsCommand = createQueryCommand({
  name: "endpoints",
  description: "Show the endpoints as reported by a daemon",
  path: "/v1/operator/endpoints",
  format: (answer) =>
    formatTable(readAnswer(endpointsSchema, answer).endpoints, COLUMNS),
});
