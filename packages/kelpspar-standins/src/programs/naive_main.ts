import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { parseSettings } from "kelpspar-daemon";
import {
  HttpEndpointClient,
  HttpTableService,
  HttpVmList,
} from "kelpspar-backends";
import { SystemRandom, SystemTimer } from "kelpspar-shared";
import { startNaiveDaemon } from "../naive/naive_daemon.ts";
import { NaivePipeline } from "../naive/naive_pipeline.ts";
import { NaiveView } from "../naive/naive_view.ts";
import { printLine } from "./read_settings.ts";

const { values } = parseArgs({ options: { settings: { type: "string" } } });
const settings = parseSettings(readFileSync(values.settings ?? "", "utf8"));
const timer = new SystemTimer();
const { platform } = settings;
const view = new NaiveView({
  table: new HttpTableService({ origin: platform.tableOrigin, timer }),
  vmList: new HttpVmList({ origin: platform.vmListOrigin, timer }),
});
view.start(timer);
const pipeline = new NaivePipeline({
  endpoints: new HttpEndpointClient({ timer }),
  view,
  timer,
});
const port = await startNaiveDaemon({ settings, view, pipeline });
// There is no signal handler, so SIGTERM ends the process at once.
printLine({
  listening: { port },
  incarnation: `${settings.daemonId}-${new SystemRandom().nextHexadecimal(6)}`,
});
