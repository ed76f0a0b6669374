import { array, multioption, option, optional, string } from "cmd-ts";

/** The addresses of the daemons and the operator key. */
export const operatorArguments = {
  daemons: multioption({
    long: "daemon",
    type: array(string),
    description: "A daemon as address:port; repeat to try several in order",
  }),
  key: option({
    long: "key",
    type: optional(string),
    description: "The operator key; visible to other users of the machine",
  }),
  keyFile: option({
    long: "key-file",
    type: optional(string),
    description: "A file that holds the operator key",
  }),
};

/** The values of `operatorArguments`. */
export interface OperatorValues {
  readonly daemons: readonly string[];
  readonly key: string | undefined;
  readonly keyFile: string | undefined;
}
