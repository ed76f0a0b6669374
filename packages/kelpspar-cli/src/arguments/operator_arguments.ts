import { array, multioption, option, optional, string } from "cmd-ts";

/** Where the daemons are and by whose key to ask them. */
export const operatorArguments = {
  daemons: multioption({
    long: "daemon",
    type: array(string),
    description: "A daemon as address:port; give several to try in turn",
  }),
  key: option({
    long: "key",
    type: optional(string),
    description: "The operator key; others on the machine may see it here",
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
