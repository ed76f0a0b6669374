import type { PieceTerms } from "../configuration/service_definition.ts";
import type { EndpointLane } from "./endpoint_lane.ts";
import type { PieceQueue } from "./piece_queue.ts";
import type { PieceTask } from "./piece_task.ts";
import { fillCall } from "./fill_call.ts";
import { FREE_CROSSING_BYTES, placePiece } from "./place_piece.ts";
import { callTime, oneCallTime } from "./service_capacity.ts";

/**
 * Time of waiting work per endpoint from which calls are filled whatever
 * crosses zones, milliseconds: a third of a call.
 */
const PRESSED_MILLISECONDS = 90;

/** What a call is planned from. */
export interface PlanCallOptions {
  readonly queue: PieceQueue;
  readonly lanes: readonly EndpointLane[];
  readonly terms: PieceTerms;
  readonly now: number;
}

/** The next call to start. */
export interface CallPlan {
  readonly lane: EndpointLane;
  readonly tasks: readonly PieceTask[];
}

/** An endpoint as it is for every piece. */
interface LaneOutlook {
  readonly lane: EndpointLane;
  readonly zone: string;
  readonly isFree: boolean;
  readonly room: number;
  readonly slowness: number;
  readonly wait: number;
}

/** Plans a call for the first piece that has a place; undefined if none has. */
export function planCall(options: PlanCallOptions): CallPlan | undefined {
  const { queue, lanes, terms, now } = options;
  if (!lanes.some((lane) => lane.isFree(terms, now))) return undefined;
  const outlooks = lanes.map((lane) => lookAt(lane, options));
  const startable = queue.startable(totalRoom(lanes, terms, now));
  const work = oneCallTime(terms, queue.length);
  const queueTime = oneEndpointTime(options);
  let previous: PieceTask | undefined;
  for (const task of startable) {
    // Pieces of one stage stand together and have the same places.
    const isAlike = previous?.chain === task.chain &&
      previous.stage === task.stage;
    previous = task;
    if (isAlike) continue;
    const { chain } = task;
    const { resultBytes } = chain.stage(task.stage);
    const found = placePiece({
      places: outlooks.map((one) => ({
        ...one,
        lane: one,
        isFree: one.isFree &&
          (resultBytes <= one.room || one.room >= terms.resultBytes),
        crossing: queue.facts.crossing(task, one.zone),
      })),
      callTime: work,
      slack: chain.objectiveAt - work - chain.request.tailMilliseconds - now,
      queueTime,
    });
    if (found === undefined) continue;
    const tasks = fill(found, { ...options, first: task, startable });
    return { lane: found.lane, tasks };
  }
  return undefined;
}

/** Room of several endpoints together, bytes. */
export function totalRoom(
  lanes: readonly EndpointLane[],
  terms: PieceTerms,
  now: number,
): number {
  return lanes.reduce(
    (sum, lane) => sum + Math.max(0, lane.room(terms, now)),
    0,
  );
}

function lookAt(lane: EndpointLane, options: PlanCallOptions): LaneOutlook {
  const { terms, now } = options;
  const slowness = lane.endpoint.slowness(now);
  return {
    lane,
    zone: lane.endpoint.entry.zone,
    isFree: lane.isFree(terms, now),
    room: lane.room(terms, now),
    slowness,
    wait: lane.waitFor(terms, { slowness, now }),
  };
}

/** Time that one endpoint would take for all that waits, milliseconds. */
function oneEndpointTime({ queue, terms }: PlanCallOptions): number {
  return queue.length / terms.batch * callTime(terms, terms.batch);
}

/**
 * What goes along with `first`: pieces that belong near this endpoint, then,
 * where much waits, others: a place in a call that stays empty is lost.
 */
function fill(
  outlook: LaneOutlook,
  options: PlanCallOptions & {
    readonly first: PieceTask;
    readonly startable: readonly PieceTask[];
  },
): readonly PieceTask[] {
  const { first, lanes, terms, startable } = options;
  const near: PieceTask[] = [];
  const far: PieceTask[] = [];
  for (const task of startable) {
    if (task === first) continue;
    if (isNearest(outlook.zone, task, options)) near.push(task);
    else far.push(task);
  }
  const isPressed =
    oneEndpointTime(options) / lanes.length > PRESSED_MILLISECONDS;
  return fillCall([first, ...near, ...(isPressed ? far : [])], {
    batch: terms.batch,
    room: outlook.room,
    isEmpty: outlook.room >= terms.resultBytes,
  });
}

function isNearest(
  zone: string,
  task: PieceTask,
  { lanes, queue }: PlanCallOptions,
): boolean {
  const crossing = queue.facts.crossing(task, zone);
  return crossing <= FREE_CROSSING_BYTES ||
    !lanes.some((one) =>
      queue.facts.crossing(task, one.endpoint.entry.zone) +
          FREE_CROSSING_BYTES < crossing
    );
}
