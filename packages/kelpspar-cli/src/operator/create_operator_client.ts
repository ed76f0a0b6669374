import type { OperatorValues } from "../arguments/operator_arguments.ts";
import type { CliContext } from "../cli_context.ts";
import { KelpsparError } from "kelpspar-shared";
import { OperatorClient } from "./operator_client.ts";

const KEY_VARIABLE = "KELPSPAR_OPERATOR_KEY";
const ADDRESS_AND_PORT_PATTERN =
  /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$|^\[[0-9a-fA-F:]+\]:\d{1,5}$/;

/**
 * Creates the client for a command line's options. The key is taken from
 * `--key`, then `--key-file`, then the environment. Throws KelpsparError,
 * `usage`.
 */
export async function createOperatorClient(
  context: CliContext,
  values: OperatorValues,
): Promise<OperatorClient> {
  const { daemons } = values;
  if (daemons.length === 0) {
    throw new KelpsparError("usage", "Missing option --daemon address:port");
  }
  const malformed = daemons.find((place) =>
    !ADDRESS_AND_PORT_PATTERN.test(place)
  );
  if (malformed !== undefined) {
    throw new KelpsparError(
      "usage",
      `Cannot use daemon "${malformed}": it is not an IP address and a port`,
    );
  }
  const key = await findKey(context, values);
  return new OperatorClient({ daemons, key, timer: context.timer });
}

async function findKey(
  context: CliContext,
  values: OperatorValues,
): Promise<string> {
  if (values.key !== undefined) return values.key;
  if (values.keyFile !== undefined) {
    return await readKey(context, values.keyFile);
  }
  const key = context.environment[KEY_VARIABLE];
  if (key !== undefined && key !== "") return key;
  throw new KelpsparError(
    "usage",
    `Missing operator key: use --key-file, --key or ${KEY_VARIABLE}`,
  );
}

async function readKey(context: CliContext, path: string): Promise<string> {
  try {
    return (await context.readFile(path)).trim();
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    throw new KelpsparError(
      "usage",
      `Cannot read the key file "${path}": ${reason}`,
    );
  }
}
