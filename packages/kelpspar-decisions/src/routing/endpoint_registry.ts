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
const MAXIMUM_PROBES_PER_POLL = 32;
const UNKNOWN_GENERATION = -1;

/**
 * This daemon's state of every endpoint. Events update it, `chooseEndpoint`
 * reads it, and `status` returns an immutable snapshot for operators. Times are
 * monotonic milliseconds.
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

  /** Applies the limits of a newly accepted configuration. */
  configure(limits: Pick<OutlierOptions, "ejectedShare">): void {
    this.#detector.configure(limits);
  }

  /** Applies a complete VM list; endpoints not in it are removed. */
  replaceList(endpoints: readonly ListedEndpoint[], now: number): void {
    const listed = new Set<string>();
    for (const row of endpoints) {
      listed.add(row.address.endpointId);
      this.#upsertListed(row, now);
    }
    for (const [id, entry] of this.#entries) {
      if (!listed.has(id)) this.#removeEntry(entry, now);
    }
  }

  /** Applies a load report; one of an earlier incarnation is ignored. */
  report(arrival: ReportArrival): void {
    const { endpointId, report, now, direct = false } = arrival;
    const observation = this.#leaving.reported({
      id: endpointId,
      incarnation: report.incarnation,
      leaving: report.state === "leaving",
      direct,
    });
    const entry = this.#entries.get(endpointId);
    if (entry === undefined || observation === "retired") return;
    if (observation === "renewed") this.#resetEntry(entry, now);
    if (direct) this.#handleProbeAnswer(entry, now);
    const isNewer = report.sequence > (entry.report?.sequence ?? -1);
    if (isNewer) this.#applyReport(entry, arrival);
    this.#updatePools(entry);
  }

  /** Counts a call as sent; returns the generation to pass to `callEnded`. */
  callStarted(call: CallStarted): number {
    const entry = this.#entries.get(call.endpointId);
    if (entry === undefined) return UNKNOWN_GENERATION;
    entry.load.callStarted(call.at);
    return entry.generation;
  }

  /** Records the end of a call. */
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
    if (outcome === "refused") this.#handleRefusal(entry, at);
    if (outcome === "leaving") this.#handleLeavingRecord(entry);
  }

  /** Applies an operator's drain; see `LeavingTracker.drain`. */
  drain(endpointId: string, incarnation?: string): void {
    this.#leaving.drain(endpointId, incarnation);
    this.#updatePoolsById(endpointId);
  }

  /** Cancels an operator's drain. */
  undrain(endpointId: string): void {
    this.#leaving.undrain(endpointId);
    this.#updatePoolsById(endpointId);
  }

  /** Marks an endpoint as suspect until a probe decides. */
  suspect(endpointId: string, now: number): void {
    this.#entries.get(endpointId)?.health.suspect(now);
  }

  /**
   * Returns a limited number of endpoints to probe now and marks them as
   * probed. Pass an answer to `report` as `direct`, and a failure to
   * `probeFailed`.
   */
  probesDue(now: number): readonly EndpointAddress[] {
    const due: EndpointAddress[] = [];
    for (const entry of this.#entries.values()) {
      if (due.length >= MAXIMUM_PROBES_PER_POLL) break;
      if (!entry.probes.isDue(now, this.#probesDueFrom(entry))) continue;
      entry.probes.sent(now);
      due.push(entry.address);
    }
    return due;
  }

  /** Makes an endpoint suspect at the first failure, ejects it at the next. */
  probeFailed(failure: ProbeFailure): void {
    const entry = this.#entries.get(failure.endpointId);
    if (entry === undefined) return;
    entry.probes.failed();
    this.#detector.recordProbe(entry.health, {
      answered: false,
      at: failure.at,
    });
    entry.health.suspect(failure.at);
    if (failure.result === "refused") this.#handleRefusal(entry, failure.at);
  }

  /** Ejects endpoints far slower than their peers; call it each second. */
  ejectLatencyOutliers(now: number): void {
    this.#detector.ejectLatencyOutliers(now);
  }

  /** The current status of every endpoint, sorted by id. */
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

  /** Returns an endpoint's entry, for `chooseEndpoint`. */
  entryOf(endpointId: string): EndpointEntry | undefined {
    return this.#entries.get(endpointId);
  }

  /** The candidates of a service and model, for `chooseEndpoint`. */
  candidates(service: string, model: string): CandidatePool | undefined {
    return this.#pools.find(service, model);
  }

  #upsertListed(row: ListedEndpoint, now: number): void {
    const { endpointId, incarnation } = row.address;
    const observation = this.#leaving.listed({
      id: endpointId,
      incarnation,
      state: row.state,
    });
    let entry = this.#entries.get(endpointId);
    if (entry === undefined) {
      entry = this.#factory.createEntry(row.address);
      this.#entries.set(endpointId, entry);
    }
    if (observation !== "retired") this.#updateAddress(entry, row.address);
    const isUnreported = entry.report === undefined;
    if (observation === "renewed" && isUnreported) this.#resetEntry(entry, now);
    this.#updatePools(entry);
  }

  #updateAddress(entry: EndpointEntry, address: EndpointAddress): void {
    const moved = entry.address.availabilityZone !== address.availabilityZone ||
      entry.address.service !== address.service;
    if (moved) this.#removeFromPools(entry);
    entry.address = address;
  }

  #removeEntry(entry: EndpointEntry, now: number): void {
    this.#leaving.unlisted(entry.address.endpointId);
    this.#removeFromPools(entry);
    entry.load.abandon(now);
    this.#entries.delete(entry.address.endpointId);
  }

  #applyReport(entry: EndpointEntry, arrival: ReportArrival): void {
    const { report, now, relayedMilliseconds = 0 } = arrival;
    entry.report = report;
    entry.concurrency = Math.max(1, report.concurrency);
    const slice = this.#factory.sliceOf(entry.address, entry.concurrency);
    entry.limit.setSlice(slice);
    entry.load.applyReport(report, {
      arrivedAt: now,
      lagMilliseconds: this.#reportLagMilliseconds + relayedMilliseconds,
    });
  }

  #handleRefusal(entry: EndpointEntry, at: number): void {
    this.#leaving.refused(entry.address.endpointId, at);
    entry.health.suspect(at);
    this.#updatePools(entry);
  }

  #handleLeavingRecord(entry: EndpointEntry): void {
    this.#leaving.recordedLeaving(entry.address.endpointId);
    this.#updatePools(entry);
  }

  #handleProbeAnswer(entry: EndpointEntry, at: number): void {
    entry.probes.answered(at);
    this.#detector.recordProbe(entry.health, { answered: true, at });
  }

  #probesDueFrom(entry: EndpointEntry): number {
    if (!entry.leaving) return entry.health.probesDueFrom;
    return this.#leaving.isLeavingByRefusalsOnly(entry.address.endpointId)
      ? Number.NEGATIVE_INFINITY
      : Number.POSITIVE_INFINITY;
  }

  #resetEntry(entry: EndpointEntry, now: number): void {
    this.#removeFromPools(entry);
    entry.load.abandon(now);
    entry.reset(this.#factory.createParts(entry.address, entry.concurrency));
    entry.health.startRamp(now);
  }

  #updatePoolsById(endpointId: string): void {
    const entry = this.#entries.get(endpointId);
    if (entry !== undefined) this.#updatePools(entry);
  }

  #updatePools(entry: EndpointEntry): void {
    entry.leaving = this.#leaving.isLeaving(entry.address.endpointId);
    const models = listServedModels(entry);
    const service = entry.address.service;
    const keys = models.map((model) => poolKeyOf(service, model));
    const isUnchanged = keys.length === entry.pools.length &&
      entry.pools.every((pool, index) => pool.key === keys[index]);
    if (isUnchanged) return;
    this.#pools.place(entry, models);
    this.#detector.place(entry.health, keys);
  }

  #removeFromPools(entry: EndpointEntry): void {
    this.#pools.remove(entry);
    this.#detector.place(entry.health, []);
  }
}

/**
 * Lists the models whose calls an endpoint can serve; the empty string stands
 * for calls without a model. An endpoint that hasn't reported yet is treated as
 * a plain service.
 */
function listServedModels(entry: EndpointEntry): readonly string[] {
  if (entry.leaving) return [];
  if (entry.report === undefined) return [""];
  if (entry.report.state !== "ready") return [];
  return ["", ...Object.keys(entry.report.models)];
}
