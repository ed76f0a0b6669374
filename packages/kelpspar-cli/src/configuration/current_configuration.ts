import type { CurrentConfiguration } from "../operator/answers.ts";
import type { OperatorClient } from "../operator/operator_client.ts";
import { KelpsparError } from "kelpspar-shared";
import { currentConfigurationSchema } from "../operator/answers.ts";
import { readAnswer } from "../operator/read_answer.ts";

const NO_CONFIGURATION: CurrentConfiguration = {
  revision: 0,
  configuration: undefined,
};

/**
 * Reads the configuration in force from the first daemon that has one. Returns
 * revision 0 if none has one. Throws KelpsparError.
 */
export async function readCurrentConfiguration(
  client: OperatorClient,
): Promise<CurrentConfiguration> {
  try {
    const path = "/v1/operator/configuration";
    const answer = await client.request({ method: "GET", path });
    return readAnswer(currentConfigurationSchema, answer);
  } catch (error) {
    const isNone = error instanceof KelpsparError &&
      error.result === "no_configuration";
    if (isNone) return NO_CONFIGURATION;
    throw error;
  }
}
