import type { PieceTerms } from "../configuration/service_definition.ts";
import type { LogFields } from "../log/gateway_log.ts";
import type { CallTarget } from "./call_target.ts";
import type { PieceQueue } from "./piece_queue.ts";
import type { RunningCall } from "./running_call.ts";
import { totalRoom } from "./plan_call.ts";

/** Most attempt ids in one log line about a call. */
const MAX_LOGGED_ATTEMPTS = 4;
/** Most kinds of request in one log line about a queue. */
const MAX_LOGGED_KINDS = 8;

/** Log fields for queued and in-flight work. */
export function describeLoad(options: {
  readonly queue: PieceQueue;
  readonly targets: readonly CallTarget[];
  readonly terms: PieceTerms;
  readonly repeats: number;
  readonly now: number;
}): LogFields {
  const { queue, targets, terms, repeats, now } = options;
  const sum = (of: (target: CallTarget) => number): number =>
    targets.reduce((total, target) => total + of(target), 0);
  const room = sum((target) => target.room(terms, now));
  const retained = sum((target) => target.results.bytesOf("retained", now));
  return {
    queued: queue.length,
    queuedByKind: describeKinds(queue),
    startable: queue.startable(totalRoom(targets, terms, now), repeats).length,
    endpoints: targets.length,
    calls: sum((target) => target.calls.size),
    pieces: sum((target) =>
      [...target.calls].reduce((count, call) => count + call.tasks.length, 0)
    ),
    freeRoomShare: Number(
      (room / (terms.resultBytes * targets.length)).toFixed(2),
    ),
    retainedRoomShare: Number(
      (retained / (terms.resultBytes * targets.length)).toFixed(2),
    ),
    slowness: targets.map((target) =>
      target.endpoint.expectedSlowness(now).toFixed(2)
    ).join(","),
  };
}

/** Queued pieces by kind of request, `NAME:COUNT,…`; the most come first. */
function describeKinds(queue: PieceQueue): string {
  return [...queue.countByKind()]
    .sort(([, left], [, right]) => right - left)
    .slice(0, MAX_LOGGED_KINDS)
    .map(([kind, count]) => `${kind}:${count}`)
    .join(",");
}

/** Log fields for a call to an endpoint. */
export function describeCall(
  target: CallTarget,
  call: RunningCall,
  now: number,
): LogFields {
  return {
    endpoint: target.endpoint.entry.id,
    pieces: call.tasks.length,
    attempts: call.tasks.slice(0, MAX_LOGGED_ATTEMPTS)
      .map((task) => task.chain.request.attemptId).join(","),
    tookMilliseconds: Math.round(now - call.startedAt),
    soundMilliseconds: Math.round(call.expectedCallTime),
  };
}
