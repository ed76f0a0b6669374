import type { LossResult } from "./judge_losses.ts";
import type { LossSituation } from "./loss_situation.ts";
import type { PlayOptions, RunningSite } from "./play_on_site.ts";
import type { StreamCaller } from "./stream_caller.ts";
import type { StreamRecord } from "./stream_record.ts";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";
import { KILL_SERIES } from "./kill_series.ts";
import { playOnSite } from "./play_on_site.ts";
import { VERSION_CHANGES } from "./version_changes.ts";

const STREAMS = 60;
/** Time in which streams begin. */
const BEGIN_MILLISECONDS = 500;
/** Time from the last begun stream to the situation. */
const SETTLE_MILLISECONDS = 500;
const STORE_OUTAGE_MILLISECONDS = 2_000;
const NEW_STREAMS = 24;
const NEW_STREAM_EVENTS = 2;
/** Time from the first kill to the first new stream. */
const BEFORE_NEW_MILLISECONDS = 1_500;
const NEW_INTERVAL_MILLISECONDS = 125;

/** Options of `runLosses`. */
export interface RunLossesOptions extends PlayOptions {
  readonly situation: LossSituation;
}

/**
 * Kills daemons while callers receive streams of a service with several software
 * versions, and judges what becomes of these streams.
 */
export function runLosses(
  { situation, ...options }: RunLossesOptions,
): Promise<LossResult> {
  return playOnSite(
    { ...options, size: situation },
    (running) => playSituation(situation, running),
  );
}

async function playSituation(
  situation: LossSituation,
  { site, daemons, createCaller }: RunningSite,
): Promise<readonly StreamRecord[]> {
  const { change, changeTime, leadMilliseconds, storeOutage } = situation;
  const caller = createCaller({});
  const streams: Promise<StreamRecord>[] = [];
  for (let number = 0; number < STREAMS; number++) {
    streams.push(caller.follow());
    await setTimeoutPromise(BEGIN_MILLISECONDS / STREAMS);
  }
  await setTimeoutPromise(SETTLE_MILLISECONDS);
  if (changeTime === "before_kill") await VERSION_CHANGES[change](site);
  if (storeOutage === "before_kill") site.store.fault = "reset";
  await setTimeoutPromise(leadMilliseconds);
  if (storeOutage === "before_kill") site.store.fault = "none";
  if (storeOutage === "from_kill") {
    site.store.fault = "reset";
    setTimeout(() => site.store.fault = "none", STORE_OUTAGE_MILLISECONDS);
  }
  const added = beginNewStreams(caller);
  await KILL_SERIES[situation.kill](daemons, {
    downMilliseconds: situation.downMilliseconds,
    onDown: async () => {
      if (changeTime === "while_down") await VERSION_CHANGES[change](site);
    },
  });
  return [...await Promise.all(streams), ...await added];
}

/** Begins streams after the kill, one try each. */
async function beginNewStreams(
  caller: StreamCaller,
): Promise<readonly StreamRecord[]> {
  await setTimeoutPromise(BEFORE_NEW_MILLISECONDS);
  const streams: Promise<StreamRecord>[] = [];
  for (let number = 0; number < NEW_STREAMS; number++) {
    streams.push(
      caller.follow({
        isNew: true,
        maximumTries: 1,
        maximumEvents: NEW_STREAM_EVENTS,
      }),
    );
    await setTimeoutPromise(NEW_INTERVAL_MILLISECONDS);
  }
  return await Promise.all(streams);
}
