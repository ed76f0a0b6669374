import type { Experiment } from "./experiment.ts";
import { CLAIM_BATCHING } from "./definitions/claim_batching.ts";
import { CONFIGURATION_RACE } from "./definitions/configuration_race.ts";
import { DAEMON_DEATHS } from "./definitions/daemon_deaths.ts";
import { ENDPOINT_DEATHS } from "./definitions/endpoint_deaths.ts";
import { EVERYTHING } from "./definitions/everything.ts";
import { HEAVY_ACCOUNT } from "./definitions/heavy_account.ts";
import { LAGGED_REPORTS } from "./definitions/lagged_reports.ts";
import { LEAVING_ENDPOINT } from "./definitions/leaving_endpoint.ts";
import { LOST_WRITE_ANSWERS } from "./definitions/lost_write_answers.ts";
import { OTHERS_BURST } from "./definitions/others_burst.ts";
import { OVERLOAD } from "./definitions/overload.ts";
import { PREFIX_AFFINITY } from "./definitions/prefix_affinity.ts";
import { ROLLING_STOP } from "./definitions/rolling_stop.ts";
import { SILENT_CONNECTIONS } from "./definitions/silent_connections.ts";
import { SLOW_ENDPOINT } from "./definitions/slow_endpoint.ts";
import { STEADY } from "./definitions/steady.ts";
import { STORE_OUTAGE } from "./definitions/store_outage.ts";
import { ZONE_LOSS } from "./definitions/zone_loss.ts";

const ALL: readonly Experiment[] = [
  STEADY,
  OVERLOAD,
  HEAVY_ACCOUNT,
  OTHERS_BURST,
  ENDPOINT_DEATHS,
  SLOW_ENDPOINT,
  DAEMON_DEATHS,
  ROLLING_STOP,
  LEAVING_ENDPOINT,
  STORE_OUTAGE,
  LOST_WRITE_ANSWERS,
  SILENT_CONNECTIONS,
  CLAIM_BATCHING,
  CONFIGURATION_RACE,
  ZONE_LOSS,
  LAGGED_REPORTS,
  PREFIX_AFFINITY,
  EVERYTHING,
];

/** All experiments by name. */
export const EXPERIMENTS: ReadonlyMap<string, Experiment> = new Map(
  ALL.map((experiment) => [experiment.name, experiment]),
);
