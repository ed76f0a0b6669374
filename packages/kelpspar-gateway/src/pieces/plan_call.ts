import type { PieceTerms } from "../configuration/service_definition.ts";
import type { CallTarget } from "./call_target.ts";
import type { PieceQueue } from "./piece_queue.ts";
import type { PieceTask } from "./piece_task.ts";
import { fillCall } from "./fill_call.ts";
import { FREE_CROSSING_BYTES, placePiece } from "./place_piece.ts";
import { callTime, singleCallTime } from "./service_capacity.ts";

/**
 * Queued work per endpoint above which calls are filled regardless of
 * cross-zone traffic: a third of a call.
 */
const HIGH_BACKLOG_MILLISECONDS = 90;

/** Inputs of `planCall`. */
export interface PlanCallOptions {
  readonly queue: PieceQueue;
  readonly targets: readonly CallTarget[];
  readonly terms: PieceTerms;
  /** Number of pieces that may be sent again. */
  readonly repeats: number;
  readonly now: number;
  /** Whether retained results may make way for the call; default false. */
  readonly usesRetainedRoom?: boolean;
}

/** The next call to start. */
export interface CallPlan {
  readonly target: CallTarget;
  readonly tasks: readonly PieceTask[];
}

/** State of an endpoint that is the same for every piece. */
interface TargetState {
  readonly target: CallTarget;
  readonly zone: string;
  readonly isFree: boolean;
  readonly room: number;
  readonly slowness: number;
  readonly wait: number;
}

/** Plans a call for the first piece that can be placed; undefined if none can. */
export function planCall(options: PlanCallOptions): CallPlan | undefined {
  const { queue, targets, terms, repeats, now } = options;
  if (!targets.some((target) => target.isFree(terms, now))) return undefined;
  const states = targets.map((target) => toTargetState(target, options));
  const startable = queue.startable(totalRoom(targets, terms, now), repeats);
  const work = singleCallTime(terms, queue.length);
  const queueTime = singleEndpointTime(options);
  let previous: PieceTask | undefined;
  for (const task of startable) {
    // Pieces of one stage are adjacent and have the same candidates.
    const isAlike = previous?.chain === task.chain &&
      previous.stage === task.stage;
    previous = task;
    if (isAlike) continue;
    const { chain } = task;
    const { resultBytes } = chain.stage(task.stage);
    const found = placePiece({
      candidates: states.map((state) => ({
        ...state,
        target: state,
        isFree: state.isFree &&
          (resultBytes <= state.room || state.room >= terms.resultBytes),
        crossing: queue.stageCache.crossing(task, state.zone),
      })),
      callTime: work,
      slack: chain.objectiveAt - work - chain.request.tailMilliseconds - now,
      queueTime,
    });
    if (found === undefined) continue;
    const tasks = fillFrom(found, { ...options, first: task, startable });
    return { target: found.target, tasks };
  }
  return undefined;
}

/**
 * Total room of several endpoints, bytes. Retained results count as free: they
 * make way for calls.
 */
export function totalRoom(
  targets: readonly CallTarget[],
  terms: PieceTerms,
  now: number,
): number {
  return targets.reduce(
    (sum, target) =>
      sum + Math.max(0, target.room(terms, now) + target.reclaimableRoom(now)),
    0,
  );
}

function toTargetState(
  target: CallTarget,
  options: PlanCallOptions,
): TargetState {
  const { terms, now, usesRetainedRoom = false } = options;
  const reclaimable = usesRetainedRoom ? target.reclaimableRoom(now) : 0;
  const slowness = target.endpoint.expectedSlowness(now);
  return {
    target,
    zone: target.endpoint.entry.zone,
    isFree: target.isFree(terms, now),
    room: target.room(terms, now) + reclaimable,
    slowness,
    wait: target.waitFor(terms, { slowness, now }),
  };
}

/** Time that one endpoint would take for the whole queue, milliseconds. */
function singleEndpointTime({ queue, terms }: PlanCallOptions): number {
  return queue.length / terms.batch * callTime(terms, terms.batch);
}

/**
 * Fills a call that starts with `first`: with pieces best made in this
 * endpoint's zone, then, under a high backlog, with others, because an empty
 * slot in a call is wasted capacity.
 */
function fillFrom(
  state: TargetState,
  options: PlanCallOptions & {
    readonly first: PieceTask;
    readonly startable: readonly PieceTask[];
  },
): readonly PieceTask[] {
  const { first, targets, terms, startable } = options;
  const near: PieceTask[] = [];
  const far: PieceTask[] = [];
  for (const task of startable) {
    if (task === first) continue;
    if (isNearest(state.zone, task, options)) near.push(task);
    else far.push(task);
  }
  const hasHighBacklog =
    singleEndpointTime(options) / targets.length > HIGH_BACKLOG_MILLISECONDS;
  return fillCall([first, ...near, ...(hasHighBacklog ? far : [])], {
    batch: state.target.batch(terms),
    room: state.room,
    isEmpty: state.room >= terms.resultBytes,
  });
}

function isNearest(
  zone: string,
  task: PieceTask,
  { targets, queue }: PlanCallOptions,
): boolean {
  const crossing = queue.stageCache.crossing(task, zone);
  return crossing <= FREE_CROSSING_BYTES ||
    !targets.some((target) =>
      queue.stageCache.crossing(task, target.endpoint.entry.zone) +
          FREE_CROSSING_BYTES < crossing
    );
}
