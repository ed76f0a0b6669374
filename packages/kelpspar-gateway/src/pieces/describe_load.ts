import type { PieceTerms } from "../configuration/service_definition.ts";
import type { LogFields } from "../log/gateway_log.ts";
import type { EndpointLane } from "./endpoint_lane.ts";
import type { PieceQueue } from "./piece_queue.ts";
import type { RunningCall } from "./running_call.ts";
import { totalRoom } from "./plan_call.ts";

/** Attempts that a line about a call names at the most. */
const MOST_ATTEMPTS = 4;

/** What waits and what is under way, for the log. */
export function describeLoad(options: {
  readonly queue: PieceQueue;
  readonly lanes: readonly EndpointLane[];
  readonly terms: PieceTerms;
  readonly now: number;
}): LogFields {
  const { queue, lanes, terms, now } = options;
  const sum = (of: (lane: EndpointLane) => number): number =>
    lanes.reduce((total, lane) => total + of(lane), 0);
  const room = sum((lane) => lane.room(terms, now));
  return {
    queued: queue.length,
    startable: queue.startable(totalRoom(lanes, terms, now)).length,
    endpoints: lanes.length,
    calls: sum((lane) => lane.calls.size),
    pieces: sum((lane) =>
      [...lane.calls].reduce((count, one) => count + one.tasks.length, 0)
    ),
    freeRoomShare: Number(
      (room / (terms.resultBytes * lanes.length)).toFixed(2),
    ),
    slowness: lanes.map((lane) => lane.endpoint.slowness(now).toFixed(2))
      .join(","),
  };
}

/** A call at an endpoint, for the log. */
export function describeCall(
  lane: EndpointLane,
  call: RunningCall,
  now: number,
): LogFields {
  return {
    endpoint: lane.endpoint.entry.id,
    pieces: call.tasks.length,
    attempts: call.tasks.slice(0, MOST_ATTEMPTS)
      .map((task) => task.chain.request.attemptId).join(","),
    tookMilliseconds: Math.round(now - call.startedAt),
    soundMilliseconds: Math.round(call.soundTime),
  };
}
