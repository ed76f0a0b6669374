import type { CallEnded } from "./call_ended.ts";
import type { CandidatePool } from "./candidate_pool.ts";
import type { EndpointEntry } from "./endpoint_entry.ts";
import type {
  CallStarted,
  ListedEndpoint,
  ProbeFailure,
  ReportArrival,
} from "./endpoint_events.ts";
import type { EndpointRegistryOptions } from "./endpoint_registry_options.ts";
import type { OutlierOptions } from "./outlier_options.ts";
import type { EndpointStatus } from "./endpoint_status.ts";
import type { EndpointAddress } from "kelpspar-shared";
import { CandidatePools, poolKeyOf } from "./candidate_pools.ts";
import { statusOf } from "./endpoint_status.ts";
import { EntryFactory } from "./entry_factory.ts";
import { LeavingTracker } from "./leaving_tracker.ts";
import { OutlierDetector } from "./outlier_detector.ts";

const DEFAULT_REPORT_LAG_MILLISECONDS = 500;
const MOST_PROBES_AT_A_TIME = 32;
const UNKNOWN_GENERATION = -1;

/**
 * What this daemon knows of every endpoint. Events change it; `chooseEndpoint`
 * reads it; `status` gives operators an immutable picture. Times are monotonic
 * milliseconds.
 */
export class EndpointRegistry {
  readonly #reportLagMilliseconds: number;
  readonly #leaving: LeavingTracker;
  readonly #detector: OutlierDetector;
  readonly #factory: EntryFactory;
  readonly #pools: CandidatePools;
  readonly #entries = new Map<string, EndpointEntry>();

  constructor(options: EndpointRegistryOptions = {}) {
    this.#reportLagMilliseconds = options.reportLagMilliseconds ??
      DEFAULT_REPORT_LAG_MILLISECONDS;
    this.#leaving = new LeavingTracker(options.leaving);
    this.#detector = new OutlierDetector(options.outliers);
    this.#factory = new EntryFactory(options, this.#detector);
    this.#pools = new CandidatePools(options.regionOf ?? (() => ""));
  }

  /** Takes limits of a newly accepted configuration. */
  configure(limits: Pick<OutlierOptions, "ejectedShare">): void {
    this.#detector.configure(limits);
  }

  /** Takes in a whole VM list; endpoints not in it are forgotten. */
  replaceList(endpoints: readonly ListedEndpoint[], now: number): void {
    const listed = new Set<string>();
    for (const row of endpoints) {
      listed.add(row.address.endpointId);
      this.#list(row, now);
    }
    for (const [id, entry] of this.#entries) {
      if (!listed.has(id)) this.#forget(entry, now);
    }
  }

  /** Takes in a report; one of an earlier incarnation changes nothing. */
  report(arrival: ReportArrival): void {
    const { endpointId, report, now, direct = false } = arrival;
    const sighting = this.#leaving.reported({
      id: endpointId,
      incarnation: report.incarnation,
      leaving: report.state === "leaving",
      direct,
    });
    const entry = this.#entries.get(endpointId);
    if (entry === undefined || sighting === "retired") return;
    if (sighting === "renewed") this.#renew(entry, now);
    if (direct) this.#probeAnswered(entry, now);
    const isNewer = report.sequence > (entry.report?.sequence ?? -1);
    if (isNewer) this.#takeReport(entry, arrival);
    this.#place(entry);
  }

  /** Counts a call as sent; returns the generation for `callEnded`. */
  callStarted(call: CallStarted): number {
    const entry = this.#entries.get(call.endpointId);
    if (entry === undefined) return UNKNOWN_GENERATION;
    entry.load.callStarted(call.at);
    return entry.generation;
  }

  /** Takes in the end of a call. */
  callEnded(ended: CallEnded): void {
    const entry = this.#entries.get(ended.endpointId);
    if (entry === undefined || entry.generation !== ended.generation) return;
    const { at, latencyMilliseconds, outcome, model = "" } = ended;
    const inFlight = entry.load.inFlight;
    entry.load.callEnded(at);
    const sample = { at, latencyMilliseconds, outcome };
    const isQueueing = (entry.report?.waiting ?? 0) > 0;
    entry.limit.callEnded({ ...sample, inFlight, isQueueing, model });
    const poolKey = poolKeyOf(entry.address.service, model);
    this.#detector.callEnded(entry.health, { ...sample, poolKey });
    if (outcome === "refused") this.#refused(entry, at);
    if (outcome === "leaving") this.#recordedLeaving(entry);
  }

  /** Applies an operator's drain; see `LeavingTracker.drain`. */
  drain(endpointId: string, incarnation?: string): void {
    this.#leaving.drain(endpointId, incarnation);
    this.#placeById(endpointId);
  }

  /** Takes an operator's drain back. */
  undrain(endpointId: string): void {
    this.#leaving.undrain(endpointId);
    this.#placeById(endpointId);
  }

  /** Avoids an endpoint until a probe says more. */
  suspect(endpointId: string, now: number): void {
    this.#entries.get(endpointId)?.health.suspect(now);
  }

  /**
   * Endpoints to probe now, a few at a time; counts them as probed. An answer
   * goes to `report` as `direct`, a failure to `probeFailed`.
   */
  probesDue(now: number): readonly EndpointAddress[] {
    const due: EndpointAddress[] = [];
    for (const entry of this.#entries.values()) {
      if (due.length >= MOST_PROBES_AT_A_TIME) break;
      if (!entry.probes.isDue(now, this.#probesWantedFrom(entry))) continue;
      entry.probes.sent(now);
      due.push(entry.address);
    }
    return due;
  }

  /** The first failure makes an endpoint suspect, the next one ejects it. */
  probeFailed(failure: ProbeFailure): void {
    const entry = this.#entries.get(failure.endpointId);
    if (entry === undefined) return;
    entry.probes.failed();
    this.#detector.probed(entry.health, { answered: false, at: failure.at });
    entry.health.suspect(failure.at);
    if (failure.result === "refused") this.#refused(entry, failure.at);
  }

  /** Compares latencies between endpoints; call it each second. */
  judge(now: number): void {
    this.#detector.judgeLatencies(now);
  }

  /** Every endpoint as it stands, sorted by id. */
  status(now: number): readonly EndpointStatus[] {
    const statuses = [...this.#entries.values()].map((entry) =>
      statusOf(entry, {
        now,
        leavingBy: this.#leaving.sourcesOf(entry.address.endpointId),
      })
    );
    return statuses.sort((left, right) =>
      left.address.endpointId < right.address.endpointId ? -1 : 1
    );
  }

  /** An endpoint's entry, for `chooseEndpoint`. */
  entryOf(endpointId: string): EndpointEntry | undefined {
    return this.#entries.get(endpointId);
  }

  /** The candidates of a service and model, for `chooseEndpoint`. */
  candidates(service: string, model: string): CandidatePool | undefined {
    return this.#pools.find(service, model);
  }

  #list(row: ListedEndpoint, now: number): void {
    const { endpointId, incarnation } = row.address;
    const sighting = this.#leaving.listed({
      id: endpointId,
      incarnation,
      state: row.state,
    });
    let entry = this.#entries.get(endpointId);
    if (entry === undefined) {
      entry = this.#factory.createEntry(row.address);
      this.#entries.set(endpointId, entry);
    }
    if (sighting !== "retired") this.#move(entry, row.address);
    const isUnheard = entry.report === undefined;
    if (sighting === "renewed" && isUnheard) this.#renew(entry, now);
    this.#place(entry);
  }

  #move(entry: EndpointEntry, address: EndpointAddress): void {
    const moved = entry.address.availabilityZone !== address.availabilityZone ||
      entry.address.service !== address.service;
    if (moved) this.#unplace(entry);
    entry.address = address;
  }

  #forget(entry: EndpointEntry, now: number): void {
    this.#leaving.unlisted(entry.address.endpointId);
    this.#unplace(entry);
    entry.load.abandon(now);
    this.#entries.delete(entry.address.endpointId);
  }

  #takeReport(entry: EndpointEntry, arrival: ReportArrival): void {
    const { report, now, relayedMilliseconds = 0 } = arrival;
    entry.report = report;
    entry.concurrency = Math.max(1, report.concurrency);
    const slice = this.#factory.sliceOf(entry.address, entry.concurrency);
    entry.limit.setSlice(slice);
    entry.load.reported(report, {
      arrivedAt: now,
      lagMilliseconds: this.#reportLagMilliseconds + relayedMilliseconds,
    });
  }

  #refused(entry: EndpointEntry, at: number): void {
    this.#leaving.refused(entry.address.endpointId, at);
    entry.health.suspect(at);
    this.#place(entry);
  }

  #recordedLeaving(entry: EndpointEntry): void {
    this.#leaving.recordedLeaving(entry.address.endpointId);
    this.#place(entry);
  }

  #probeAnswered(entry: EndpointEntry, at: number): void {
    entry.probes.answered(at);
    this.#detector.probed(entry.health, { answered: true, at });
  }

  #probesWantedFrom(entry: EndpointEntry): number {
    if (!entry.leaving) return entry.health.probesWantedFrom;
    return this.#leaving.isOnlyRefused(entry.address.endpointId)
      ? Number.NEGATIVE_INFINITY
      : Number.POSITIVE_INFINITY;
  }

  #renew(entry: EndpointEntry, now: number): void {
    this.#unplace(entry);
    entry.load.abandon(now);
    entry.renew(this.#factory.createParts(entry.address, entry.concurrency));
    entry.health.startRamp(now);
  }

  #placeById(endpointId: string): void {
    const entry = this.#entries.get(endpointId);
    if (entry !== undefined) this.#place(entry);
  }

  #place(entry: EndpointEntry): void {
    entry.leaving = this.#leaving.isLeaving(entry.address.endpointId);
    const models = modelsServed(entry);
    const service = entry.address.service;
    const keys = models.map((model) => poolKeyOf(service, model));
    const isUnchanged = keys.length === entry.pools.length &&
      entry.pools.every((pool, index) => pool.key === keys[index]);
    if (isUnchanged) return;
    this.#pools.place(entry, models);
    this.#detector.place(entry.health, keys);
  }

  #unplace(entry: EndpointEntry): void {
    this.#pools.remove(entry);
    this.#detector.place(entry.health, []);
  }
}

/**
 * The models whose calls an endpoint can take, the empty one standing for calls
 * without a model. One that has not reported yet is taken for a plain service.
 */
function modelsServed(entry: EndpointEntry): readonly string[] {
  if (entry.leaving) return [];
  if (entry.report === undefined) return [""];
  if (entry.report.state !== "ready") return [];
  return ["", ...Object.keys(entry.report.models)];
}
