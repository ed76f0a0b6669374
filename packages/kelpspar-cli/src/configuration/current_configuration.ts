import type { CurrentConfiguration } from "../operator/answers.ts";
import type { OperatorClient } from "../operator/operator_client.ts";
import { KelpsparError } from "kelpspar-shared";
import { currentConfigurationSchema } from "../operator/answers.ts";
import { readAnswer } from "../operator/read_answer.ts";

const NONE: CurrentConfiguration = { revision: 0, configuration: undefined };

/**
 * The configuration in force, as the first daemon that has one says; revision
 * 0 when none has. Throws KelpsparError.
 */
export async function readCurrentConfiguration(
  client: OperatorClient,
): Promise<CurrentConfiguration> {
  try {
    const path = "/v1/operator/configuration";
    const answer = await client.ask({ method: "GET", path });
    return readAnswer(currentConfigurationSchema, answer);
  } catch (error) {
    const isNone = error instanceof KelpsparError &&
      error.result === "no_configuration";
    if (isNone) return NONE;
    throw error;
  }
}
