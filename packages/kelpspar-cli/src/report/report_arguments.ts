import type { OperatorValues } from "../arguments/operator_arguments.ts";
import { array, multioption, option, optional, string } from "cmd-ts";
import { jsonFlag } from "../arguments/json_flag.ts";
import { operatorArguments } from "../arguments/operator_arguments.ts";

/** The sources and the outputs of a report. */
export const reportArguments = {
  ...operatorArguments,
  daemons: multioption({
    long: "daemon",
    type: array(string),
    description: "A daemon as address:port; repeat to query several",
  }),
  records: option({
    long: "records",
    type: optional(string),
    description: "A file written by --save, read instead of querying daemons",
  }),
  save: option({
    long: "save",
    type: optional(string),
    description: "Write the daemons' answers to this file",
  }),
  output: option({
    long: "output",
    type: optional(string),
    description: "Write an HTML page with plots to this file",
  }),
  json: jsonFlag,
};

/** The values of `reportArguments`. */
export interface ReportValues extends OperatorValues {
  readonly records: string | undefined;
  readonly save: string | undefined;
  readonly output: string | undefined;
}
