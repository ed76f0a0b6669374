import type { TimerService } from "kelpspar-shared";
import type { PieceTerms } from "../configuration/service_definition.ts";
import type { EndpointLane } from "./endpoint_lane.ts";
import type { PieceClient } from "./piece_call.ts";

/** How long what an endpoint says of others' results counts, milliseconds. */
const FOREIGN_ROOM_MILLISECONDS = 250;

/** Whose room is learned, and by what. */
export interface LearnRoomOptions {
  readonly lane: EndpointLane;
  readonly terms: PieceTerms;
  readonly client: PieceClient;
  readonly timer: TimerService;
  /** Told that the endpoint was started again, and when. */
  readonly onBirth: (bornAt: number) => void;
  /** Told when the answer doesn't count any more. */
  readonly onOver: () => void;
}

/**
 * Asks an endpoint how much room is left when others' results take some.
 * After the daemon before was killed its results stay until they expire;
 * without asking, every piece is sent and turned away some times a second.
 * The answer is some hundred milliseconds old, as old as a call is long, so
 * that it counts for a moment only: kept longer, it took this daemon's own
 * results for others' and left a tenth of the room in use.
 */
export async function learnRoom(options: LearnRoomOptions): Promise<void> {
  const { lane, timer, onOver } = options;
  if (lane.isRoomAsked) return;
  lane.isRoomAsked = true;
  await ask(options);
  timer.registerTimeout(() => {
    lane.isRoomAsked = false;
    lane.foreignBytes = 0;
    onOver();
  }, FOREIGN_ROOM_MILLISECONDS);
}

async function ask(options: LearnRoomOptions): Promise<void> {
  const { lane, terms, client, timer } = options;
  const { entry } = lane.endpoint;
  const report = await client.readRoom(entry);
  if (report === undefined || report.bornAt < entry.bornAt) return;
  if (report.bornAt > entry.bornAt) {
    options.onBirth(report.bornAt);
    return;
  }
  lane.foreignBytes = 0;
  const counted = lane.room(terms, timer.now());
  lane.foreignBytes = Math.max(0, counted - report.freeBytes);
}
