import type {
  Configuration,
  ConfigurationProblem,
} from "kelpspar-configuration";
import type { CliContext } from "../cli_context.ts";
import type { SubmitOutcome } from "../configuration/submit_configuration.ts";
import type { OperatorClient } from "../operator/operator_client.ts";
import type { CliCommand } from "./cli_command.ts";
import type { CommandResult } from "./command_result.ts";
import { boolean, command, flag, number, option, optional } from "cmd-ts";
import { fileArguments } from "../arguments/file_arguments.ts";
import { jsonFlag } from "../arguments/json_flag.ts";
import { operatorArguments } from "../arguments/operator_arguments.ts";
import { readCurrentConfiguration } from "../configuration/current_configuration.ts";
import { describeProblems } from "../configuration/describe_problems.ts";
import { loadConfiguration } from "../configuration/load_configuration.ts";
import { submitConfiguration } from "../configuration/submit_configuration.ts";
import { waitUntilInForce } from "../configuration/wait_until_in_force.ts";
import { createOperatorClient } from "../operator/create_operator_client.ts";
import { runCommand } from "./run_command.ts";

const CHANGE_ID_BYTES = 16;
const MILLISECONDS_PER_SECOND = 1_000;
const DEFAULT_TIMEOUT_SECONDS = 30;

const applyArguments = {
  ...fileArguments,
  ...operatorArguments,
  wait: flag({
    long: "wait",
    type: boolean,
    description: "Wait until every live daemon reports the revision",
  }),
  timeout: option({
    long: "timeout",
    type: number,
    defaultValue: () => DEFAULT_TIMEOUT_SECONDS,
    defaultValueIsSerializable: true,
    description:
      "Timeout of --wait and of the search for a lost answer, seconds",
  }),
  expectedRevision: option({
    long: "expected-revision",
    type: optional(number),
    description: "Apply only if this revision is current, as shown by diff",
  }),
  json: jsonFlag,
};

interface ApplyValues {
  readonly wait: boolean;
  readonly timeout: number;
  readonly expectedRevision: number | undefined;
}

/** `kelpspar apply BASE [OVERLAY] [--wait] [--timeout SECONDS]`. */
export function createApplyCommand(context: CliContext): CliCommand {
  return command({
    name: "apply",
    description: "Apply a configuration",
    args: applyArguments,
    handler: (values) =>
      runCommand({ context, json: values.json }, async () => {
        const parsed = await loadConfiguration(context, values);
        if (!parsed.ok) return describeProblems(parsed.errors);
        const client = await createOperatorClient(context, values);
        const { configuration } = parsed;
        return await apply(context, { values, client, configuration });
      }),
  });
}

async function apply(
  context: CliContext,
  options: {
    readonly values: ApplyValues;
    readonly client: OperatorClient;
    readonly configuration: Configuration;
  },
): Promise<CommandResult> {
  const { client, configuration, values } = options;
  const { timer } = context;
  const timeoutMilliseconds = values.timeout * MILLISECONDS_PER_SECOND;
  const changeId = context.random.nextHexadecimal(CHANGE_ID_BYTES);
  const expectedRevision = values.expectedRevision ??
    (await readCurrentConfiguration(client)).revision;
  const outcome = await submitConfiguration(
    { configuration, expectedRevision, changeId },
    { client, timer, timeoutMilliseconds },
  );
  if (outcome.type === "invalid") {
    return describeProblems(outcome.errors as ConfigurationProblem[]);
  }
  const { revision } = outcome;
  if (values.wait) {
    await waitUntilInForce({ revision, client, timer, timeoutMilliseconds });
  }
  return describeAccepted(outcome, { changeId, isInForce: values.wait });
}

function describeAccepted(
  outcome: Extract<SubmitOutcome, { readonly type: "accepted" }>,
  options: { readonly changeId: string; readonly isInForce: boolean },
): CommandResult {
  const { revision } = outcome;
  const { changeId, isInForce } = options;
  const state = isInForce ? "in force at every live daemon" : "accepted";
  return {
    data: { result: "ok", revision, changeId, isInForce },
    text: `Revision ${revision} is ${state} (change "${changeId}")`,
  };
}
