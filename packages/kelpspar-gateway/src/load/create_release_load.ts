import type { EndpointLoad } from "./endpoint_load.ts";
import type { ReleaseLoad } from "./release_load.ts";

/**
 * Age up to which a report is passed on. An older one says less than what the
 * coordinator knows from other requests.
 */
const MAXIMUM_AGE_MILLISECONDS = 1_000;

/**
 * Creates the load for a release whose request was sent at `sentAt`; undefined
 * without a recent report.
 */
export function createReleaseLoad(
  { entry, report }: EndpointLoad,
  { sentAt, now }: { readonly sentAt: number; readonly now: number },
): ReleaseLoad | undefined {
  if (report === undefined) return undefined;
  const { at, running, waiting, slots, slowdown } = report;
  const ageMilliseconds = Math.max(0, Math.round(now - at));
  if (ageMilliseconds > MAXIMUM_AGE_MILLISECONDS) return undefined;
  return {
    endpointId: entry.id,
    bornAt: entry.bornAt,
    running,
    waiting,
    slots,
    ...(slowdown === undefined ? {} : { slowdown }),
    ageMilliseconds,
    firstByteMilliseconds: Math.max(0, Math.round(now - sentAt)),
  };
}
