import type { TimerService } from "kelpspar-shared";
import type { StatusAnswer } from "../operator/answers.ts";
import type { OperatorClient } from "../operator/operator_client.ts";
import { KelpsparError } from "kelpspar-shared";
import { statusSchema } from "../operator/answers.ts";
import { readAnswer } from "../operator/read_answer.ts";
import { pollUntilFound } from "./poll_until_found.ts";

const POLL_INTERVAL_MILLISECONDS = 250;

/** States of daemons that accept no requests and need no new revision. */
const OUT_OF_SERVICE_STATES: ReadonlySet<string> = new Set([
  "leaving",
  "left",
  "gone",
  "dead",
]);

/** Options of `waitUntilInForce`. */
export interface WaitUntilInForceOptions {
  readonly revision: number;
  readonly client: OperatorClient;
  readonly timer: TimerService;
  readonly timeoutMilliseconds: number;
}

/**
 * Waits until every live daemon reports the revision or a later one. An unknown
 * state counts as live, so that the revision is never reported as in force too
 * early. Throws KelpsparError, `apply_wait_expired`.
 */
export async function waitUntilInForce(
  options: WaitUntilInForceOptions,
): Promise<void> {
  const { revision, client, timer, timeoutMilliseconds } = options;
  let progress = "no daemon answered";
  const isInForce = await pollUntilFound({
    timer,
    intervalMilliseconds: POLL_INTERVAL_MILLISECONDS,
    timeoutMilliseconds,
    poll: async () => {
      const status = await readStatus(client);
      if (status === undefined) return undefined;
      const late = findLateDaemons(status, revision);
      progress = `late: ${late.join(", ") || "the site itself"}`;
      return late.length === 0 && status.daemons.length > 0 ? true : undefined;
    },
  });
  if (isInForce) return;
  throw new KelpsparError(
    "apply_wait_expired",
    `Revision ${revision} is accepted but not yet in force everywhere; ${progress}`,
  );
}

async function readStatus(
  client: OperatorClient,
): Promise<StatusAnswer | undefined> {
  try {
    const path = "/v1/operator/status";
    return readAnswer(
      statusSchema,
      await client.request({ method: "GET", path }),
    );
  } catch (error) {
    // The revision is already accepted; a daemon may answer the next poll.
    if (error instanceof KelpsparError) return undefined;
    throw error;
  }
}

function findLateDaemons(status: StatusAnswer, revision: number): string[] {
  return status.daemons.filter((daemon) =>
    !OUT_OF_SERVICE_STATES.has(daemon.state) && daemon.revision < revision
  ).map(({ daemonId, revision }) => `${daemonId} at ${revision}`);
}
