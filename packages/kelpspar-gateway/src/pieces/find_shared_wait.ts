import type { TimerService } from "kelpspar-shared";
import type { PieceTerms } from "../configuration/service_definition.ts";
import type { EndpointEntry } from "../endpoints/endpoint_entry.ts";
import type { PieceClient, RoomReport } from "./piece_call.ts";
import { callTime } from "./service_capacity.ts";

/** A sound endpoint answers within this time, milliseconds. */
const REPORT_MILLISECONDS = 100;

/** Options of `findSharedWait`. */
export interface FindSharedWaitOptions {
  readonly endpoint: EndpointEntry;
  readonly terms: PieceTerms;
  readonly client: Pick<PieceClient, "readRoom">;
  readonly timer: TimerService;
}

/**
 * Returns how long an overdue call may still wait for other daemons' calls,
 * milliseconds; 0 if the endpoint is slow or doesn't answer. This daemon sends
 * an endpoint only as many calls as it runs at a time, so that calls wait there
 * only while another daemon, such as the former coordinator, sends some too.
 */
export async function findSharedWait(
  { endpoint, terms, client, timer }: FindSharedWaitOptions,
): Promise<number> {
  let stopTimer = (): void => {};
  const timeout = new Promise<undefined>((resolve) => {
    stopTimer = timer.registerTimeout(
      () => resolve(undefined),
      REPORT_MILLISECONDS,
    );
  });
  const report: RoomReport | undefined = await Promise.race([
    client.readRoom(endpoint),
    timeout,
  ]);
  stopTimer();
  if (report === undefined || report.bornAt > endpoint.bornAt) return 0;
  return report.waitingCalls * callTime(terms, terms.batch) / terms.slots;
}
