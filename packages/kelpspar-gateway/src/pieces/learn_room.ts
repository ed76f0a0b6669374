import type { TimerService } from "kelpspar-shared";
import type { PieceTerms } from "../configuration/service_definition.ts";
import type { CallTarget } from "./call_target.ts";
import type { PieceClient } from "./piece_call.ts";

/** How long an endpoint's room report is valid. */
const ROOM_REPORT_LIFETIME_MILLISECONDS = 250;

/** Options of `learnRoom`. */
export interface LearnRoomOptions {
  readonly target: CallTarget;
  readonly terms: PieceTerms;
  readonly client: PieceClient;
  readonly timer: TimerService;
  /** Called with the start time of a restarted endpoint. */
  readonly onRestart: (bornAt: number) => void;
  /** Called when the report expires. */
  readonly onExpired: () => void;
}

/**
 * Polls an endpoint for its free room, part of which other daemons' results may
 * take. After a previous coordinator is killed, its results stay until they
 * expire; without polling, every piece is sent and rejected several times a
 * second. The report is some hundred milliseconds old, as old as a call is
 * long, so it is valid only briefly: kept longer, it counts this daemon's own
 * results as foreign, which leaves only a tenth of the room in use.
 */
export async function learnRoom(options: LearnRoomOptions): Promise<void> {
  const { target, timer, onExpired } = options;
  if (target.isRoomPolled) return;
  target.isRoomPolled = true;
  await applyRoomReport(options);
  timer.registerTimeout(() => {
    target.isRoomPolled = false;
    target.foreignBytes = 0;
    onExpired();
  }, ROOM_REPORT_LIFETIME_MILLISECONDS);
}

async function applyRoomReport(options: LearnRoomOptions): Promise<void> {
  const { target, terms, client, timer } = options;
  const { entry } = target.endpoint;
  const report = await client.readRoom(entry);
  if (report === undefined || report.bornAt < entry.bornAt) return;
  if (report.bornAt > entry.bornAt) {
    options.onRestart(report.bornAt);
    return;
  }
  target.foreignBytes = 0;
  const counted = target.room(terms, timer.now());
  target.foreignBytes = Math.max(0, counted - report.freeBytes);
}
