import type { RandomSource } from "kelpspar-shared";
import type { Agent } from "undici";
import type { DaemonProcess } from "../wire/daemon_process.ts";
import type { WireSite } from "../wire/wire_site.ts";
import type { DrawnRequest } from "./draw_request.ts";
import type { SentRequest } from "./judge_services.ts";
import type { RepeatSituation } from "./repeat_situation.ts";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";
import { sendToFirst } from "../wire/send_to_first.ts";
import { drawRequest } from "./draw_request.ts";

/** Daemons that a caller tries to connect to. */
const MAXIMUM_ADDRESSES = 4;
/** Pause of a caller before it takes up a stream. */
const RESUME_MILLISECONDS = 400;
const MILLISECONDS_PER_SECOND = 1_000;
const SERVED_STATUS = 200;
/** Longest of the drawn streams, as a multiple of their mean. */
const LONGEST_STREAM = 4;
const EVENT_PATTERN = /id: (\d+)\n[^\n]*\n\n/g;

/** One attempt of a caller. */
export interface Attempt extends SentRequest {
  /** Undefined if it got no whole answer. */
  readonly status: number | undefined;
  /** Whether it took up a stream. */
  readonly isResuming: boolean;
}

/** Who sends to whom. */
export interface LoadOptions {
  readonly site: WireSite;
  readonly daemons: readonly DaemonProcess[];
  readonly agent: Agent;
  readonly random: RandomSource;
}

/** A stream as a caller received it. */
interface ReceivedStream {
  readonly attemptId: string;
  readonly lastEventId: string;
}

/** Sends requests at a steady rate to daemons in turn. */
export async function sendLoad(
  { site, daemons, agent, random }: LoadOptions,
  situation: RepeatSituation,
): Promise<readonly Attempt[]> {
  const { perSecond, seconds, loadSeconds } = situation;
  const { callerRetries, callerResumes, deadlineMilliseconds } = situation;
  const startedAt = performance.now();
  const attempts: Attempt[] = [];
  const callers: Promise<void>[] = [];
  const sendAttempt = async (
    request: DrawnRequest,
    { addresses, attemptId, events, resumed, pieceKey }: {
      readonly addresses: readonly string[];
      readonly attemptId: string;
      readonly events: number;
      readonly pieceKey: string;
      readonly resumed?: ReceivedStream | undefined;
    },
  ): Promise<{ readonly isServed: boolean; readonly text: string }> => {
    const at = performance.now();
    let text = "";
    const status = await sendToFirst(addresses, {
      path: `/${request.route}/x${request.isGet ? "" : `?events=${events}`}`,
      host: site.host,
      agent,
      attemptId,
      pieceKey,
      pieces: request.pieces,
      isGet: request.isGet,
      deadlineMilliseconds,
      resumed,
      onText: (part) => text += part,
    });
    const { services } = request;
    const isResuming = resumed !== undefined;
    attempts.push({ at, services, status, isResuming });
    return { isServed: status === SERVED_STATUS, text };
  };
  const chooseAddresses = (): readonly string[] => {
    const running = daemons.filter(({ processId }) => processId !== undefined);
    const first = random.nextInteger(Math.max(1, running.length));
    return [...running.slice(first), ...running.slice(0, first)]
      .slice(0, MAXIMUM_ADDRESSES).map(({ front }) => front);
  };
  const call = async (number: number): Promise<void> => {
    const request = drawRequest(situation, random);
    const events = drawEvents(situation, random);
    for (let retries = 0; retries <= callerRetries; retries++) {
      const attemptId = `a${number}-${retries}`;
      const pieceKey = attemptId;
      const first = await sendAttempt(request, {
        addresses: chooseAddresses(),
        attemptId,
        events,
        pieceKey,
      });
      if (first.isServed) return;
      let resumed = readStream(attemptId, first.text);
      if (!request.isResumable || resumed === undefined) continue;
      for (let resumes = 0; resumes < callerResumes; resumes++) {
        await setTimeoutPromise(RESUME_MILLISECONDS);
        const { isServed, text } = await sendAttempt(request, {
          addresses: chooseAddresses(),
          attemptId: `${attemptId}-${resumes}`,
          events,
          pieceKey,
          resumed,
        });
        if (isServed) return;
        resumed = readStream(attemptId, text) ?? resumed;
      }
      return;
    }
  };
  const sendToStopping = (): void => {
    for (const { front } of daemons.filter(({ isStopping }) => isStopping)) {
      const attemptId = `s${callers.length}`;
      const sent = sendAttempt(drawRequest(situation, random), {
        addresses: [front],
        attemptId,
        events: drawEvents(situation, random),
        pieceKey: attemptId,
      });
      callers.push(sent.then(() => undefined));
    }
  };
  const sticky = situation.stickyMilliseconds > 0
    ? setInterval(sendToStopping, situation.stickyMilliseconds)
    : undefined;
  const count = Math.min(seconds, loadSeconds) * perSecond;
  for (let number = 0; number < count; number++) {
    const due = startedAt + number * MILLISECONDS_PER_SECOND / perSecond;
    await setTimeoutPromise(Math.max(0, due - performance.now()));
    callers.push(call(number));
  }
  clearInterval(sticky);
  await Promise.all(callers);
  const end = startedAt + seconds * MILLISECONDS_PER_SECOND;
  await setTimeoutPromise(Math.max(0, end - performance.now()));
  return attempts;
}

function drawEvents(
  { events, areEventsDrawn }: RepeatSituation,
  random: RandomSource,
): number {
  if (!areEventsDrawn) return events;
  const drawn = -Math.log(1 - random.next());
  return Math.max(1, Math.round(events * Math.min(LONGEST_STREAM, drawn)));
}

/** The part of a stream that arrived; undefined without a whole event. */
function readStream(
  attemptId: string,
  text: string,
): ReceivedStream | undefined {
  const lastEventId = [...text.matchAll(EVENT_PATTERN)].at(-1)?.[1];
  return lastEventId === undefined ? undefined : { attemptId, lastEventId };
}
