import type { TimerService } from "kelpspar-shared";
import type { Experiment, ExperimentRun, Figures } from "./experiment.ts";
import type { LoadPlan } from "./load/load_plan.ts";
import type { PlannedRequest } from "./load/planned_request.ts";
import type { SiteStop } from "./site/experiment_site.ts";
import { loadavg } from "node:os";
import { SeededRandom } from "kelpspar-shared";
import { DaemonAddressCache } from "./caller/daemon_address_cache.ts";
import { Caller } from "./caller/caller.ts";
import { DaemonPools } from "./caller/daemon_pools.ts";
import { LARGE_ACCOUNT } from "./load/load_plan.ts";
import { planRequests } from "./load/plan_requests.ts";
import { runLoad } from "./load/run_load.ts";
import { checkKeptResults } from "./measure/check_kept_results.ts";
import { readProcessorTimes } from "./measure/processor_time.ts";
import { round } from "./measure/statistics.ts";
import { summarize } from "./measure/summarize.ts";
import { callerKey } from "./site/experiment_configuration.ts";
import { ZONES } from "./site/create_site_plan.ts";
import { ExperimentSite } from "./site/experiment_site.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/** Wait between the last answer and the count, for stages that still run. */
const SETTLE_MILLISECONDS = 1_000;

/** Default load; experiments and the command line override parts of it. */
export const DEFAULT_LOAD: LoadPlan = {
  requestsPerSecond: 100,
  seconds: 10,
  warmUpSeconds: 3,
  onceShare: 0.2,
  tokens: [8, 24],
  deadlineMilliseconds: 3_000,
};

/** Options of `runExperiment`. */
export interface RunOptions {
  readonly seed: number;
  readonly timer: TimerService;
  /** Seconds of measured load; defaults to the experiment's own. */
  readonly seconds?: number;
}

/** Performs one run of an experiment; returns its output line. */
export async function runExperiment(
  experiment: Experiment,
  run: ExperimentRun,
  options: RunOptions,
): Promise<Figures> {
  const { seed, timer } = options;
  const loadBefore = loadavg()[0] ?? 0;
  const site = new ExperimentSite({
    arm: run.arm,
    changes: run.site ?? {},
    seed,
    timer,
  });
  const pools = new DaemonPools();
  let figures: Figures = {};
  let stop: SiteStop = { killed: [], milliseconds: 0 };
  try {
    await site.start();
    figures = await measure(run, { ...options, site, pools });
  } finally {
    await pools.close();
    stop = await site.stop();
  }
  return {
    experiment: experiment.name,
    arm: run.arm,
    ...(run.variant === undefined ? {} : { variant: run.variant }),
    seed,
    ...figures,
    daemonStopSeconds: round(stop.milliseconds / MILLISECONDS_PER_SECOND, 1),
    killedAtStop: stop.killed,
    machineLoad: [round(loadBefore, 1), round(loadavg()[0] ?? 0, 1)],
  };
}

interface MeasureOptions extends RunOptions {
  readonly site: ExperimentSite;
  readonly pools: DaemonPools;
}

async function measure(
  run: ExperimentRun,
  options: MeasureOptions,
): Promise<Figures> {
  const { site, timer, seed } = options;
  const plan: LoadPlan = {
    ...DEFAULT_LOAD,
    ...run.load,
    ...(options.seconds === undefined ? {} : { seconds: options.seconds }),
  };
  const requests = planRequests(plan, { seed, availabilityZones: ZONES });
  const caller = await createCaller(run, options);
  const processorBefore = readProcessorTimes(site.daemons);
  const startAt = timer.now();
  let notes: Figures = {};
  const [load] = await Promise.all([
    runLoad(requests, { caller, timer, startAt }),
    run.script?.({
      site,
      timer,
      seconds: plan.seconds,
      at: (seconds) =>
        sleepUntil(
          timer,
          startAt + (plan.warmUpSeconds + seconds) * MILLISECONDS_PER_SECOND,
        ),
      note: (added) => {
        notes = { ...notes, ...added };
      },
    }),
  ]);
  const daemonCores = maximumCores(processorBefore, {
    after: readProcessorTimes(site.daemons),
    seconds: (timer.now() - startAt) / MILLISECONDS_PER_SECOND,
  });
  await sleepUntil(timer, timer.now() + SETTLE_MILLISECONDS);
  await site.readRunnerTime();
  const { pools } = options;
  const kept = await checkKeptResults(load.results, { site, pools, timer });
  const measured = {
    ...load,
    resultsGone: kept.keptGone,
    executions: site.executions,
    runnerTime: site.runnerTime,
    deadDaemonPorts: site.deadDaemonPorts,
    seconds: plan.seconds,
    measured: load.results.filter(({ request }) => request.isMeasured),
  };
  return {
    seconds: plan.seconds,
    offeredPerSecond: round(measured.measured.length / plan.seconds, 1),
    ...summarize(measured),
    busiestDaemonCores: daemonCores,
    ...kept,
    ...notes,
    ...await run.inspect?.(measured, site),
    daemonLogs: site.logs.messages,
  };
}

async function createCaller(
  run: ExperimentRun,
  options: MeasureOptions,
): Promise<Caller> {
  const { site, pools, timer, seed } = options;
  const ports = site.daemons.map(({ port }) => port);
  const addressCaches = new Map<
    PlannedRequest["availabilityZone"],
    DaemonAddressCache
  >();
  for (const [index, availabilityZone] of ZONES.entries()) {
    const cache = new DaemonAddressCache({
      availabilityZone,
      ports,
      callerKey: callerKey(LARGE_ACCOUNT),
      pools,
      timer,
      random: new SeededRandom(seed * 17 + index),
    });
    await cache.open();
    addressCaches.set(availabilityZone, cache);
  }
  return new Caller({ addressCaches, pools, policy: run.callers ?? {}, timer });
}

/**
 * Mean number of cores used by the busiest daemon, among those alive for the
 * whole run.
 */
function maximumCores(
  before: ReadonlyMap<number, number>,
  options: {
    readonly after: ReadonlyMap<number, number>;
    readonly seconds: number;
  },
): number {
  const cores = [...options.after].flatMap(([processId, time]) => {
    const first = before.get(processId);
    return first === undefined ? [] : [(time - first) / options.seconds];
  });
  return round(Math.max(0, ...cores), 2);
}

function sleepUntil(timer: TimerService, time: number): Promise<void> {
  return new Promise((resolve) => {
    timer.registerTimeout(resolve, Math.max(0, time - timer.now()));
  });
}
