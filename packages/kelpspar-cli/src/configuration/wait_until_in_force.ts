import type { TimerService } from "kelpspar-shared";
import type { StatusAnswer } from "../operator/answers.ts";
import type { OperatorClient } from "../operator/operator_client.ts";
import { KelpsparError } from "kelpspar-shared";
import { statusSchema } from "../operator/answers.ts";
import { readAnswer } from "../operator/read_answer.ts";
import { waitFor } from "./poll_until_found.ts";

const LOOK_AGAIN_MILLISECONDS = 250;

/** States of daemons that take no requests, and need no new revision. */
const STATES_OUT_OF_SERVICE: ReadonlySet<string> = new Set([
  "leaving",
  "left",
  "gone",
  "dead",
]);

/** Which revision is waited for, and how long. */
export interface WaitUntilInForceOptions {
  readonly revision: number;
  readonly client: OperatorClient;
  readonly timer: TimerService;
  readonly timeoutMilliseconds: number;
}

/**
 * Waits until every live daemon reports the revision or a later one. A state
 * that this tool does not know counts as live, so that it never says "in
 * force" too early. Throws KelpsparError, `apply_wait_expired`.
 */
export async function waitUntilInForce(
  options: WaitUntilInForceOptions,
): Promise<void> {
  const { revision, client, timer, timeoutMilliseconds } = options;
  let last = "no daemon answered";
  const isInForce = await waitFor({
    timer,
    everyMilliseconds: LOOK_AGAIN_MILLISECONDS,
    timeoutMilliseconds,
    look: async () => {
      const status = await readStatus(client);
      if (status === undefined) return undefined;
      const late = findLateDaemons(status, revision);
      last = `late: ${late.join(", ") || "the site itself"}`;
      return late.length === 0 && status.daemons.length > 0 ? true : undefined;
    },
  });
  if (isInForce) return;
  throw new KelpsparError(
    "apply_wait_expired",
    `Revision ${revision} is accepted but not yet in force everywhere; ${last}`,
  );
}

async function readStatus(
  client: OperatorClient,
): Promise<StatusAnswer | undefined> {
  try {
    const path = "/v1/operator/status";
    return readAnswer(statusSchema, await client.ask({ method: "GET", path }));
  } catch (error) {
    // The revision is accepted; a daemon that is silent now may answer soon.
    if (error instanceof KelpsparError) return undefined;
    throw error;
  }
}

function findLateDaemons(status: StatusAnswer, revision: number): string[] {
  return status.daemons.filter((daemon) =>
    !STATES_OUT_OF_SERVICE.has(daemon.state) && daemon.revision < revision
  ).map(({ daemonId, revision }) => `${daemonId} at ${revision}`);
}
