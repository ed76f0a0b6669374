import type { EndpointClient } from "kelpspar-backends";
import type {
  EndpointAddress,
  LoadReport,
  TimerService,
} from "kelpspar-shared";
import type { DaemonDigest, Member } from "kelpspar-decisions/membership";
import type { WatchAssignment } from "kelpspar-decisions/routing";
import type { PeerDigest } from "../peers/peer_digest.ts";
import type { ConfigurationIndexReader } from "../state/configuration_reader.ts";
import type { DecisionParts } from "../scheduling/decision_parts.ts";
import type { DaemonState } from "../state/daemon_state.ts";
import type { StateStore } from "../state/state_store.ts";
import { assignWatches } from "kelpspar-decisions/routing";
import { KelpsparError } from "kelpspar-shared";
import { toEndpointAddress } from "./to_endpoint_address.ts";

const FULL_REPORT_MILLISECONDS = 2_000;
const FULL_REPORT_INTERVAL_MILLISECONDS = 20_000;

/** Options of `EndpointMonitor`. */
export interface EndpointMonitorOptions {
  readonly daemonId: string;
  readonly availabilityZone: string;
  readonly state: StateStore<DaemonState>;
  readonly configuration: ConfigurationIndexReader;
  readonly parts: DecisionParts;
  readonly endpoints: EndpointClient;
  readonly timer: TimerService;
  /** The other daemons that share the polling. */
  readonly members: () => readonly Member[];
}

interface PublishedDescription {
  readonly description: string;
  readonly since: number;
}

/** A load report and when it was made. */
export interface TimestampedReport {
  readonly report: LoadReport;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/** The endpoint fields of a digest. */
export type LoadDigest = Pick<
  PeerDigest["member"],
  "loads" | "changedReports" | "suspectEndpoints"
>;

/**
 * Monitors the endpoints: which exist, their load, and the contents of their
 * caches. Beyond a few endpoints and daemons only two daemons poll each
 * endpoint and the others receive its reports in digests, so that the polling
 * load of an endpoint doesn't grow with the fleet.
 */
export class EndpointMonitor {
  readonly #options: EndpointMonitorOptions;
  readonly #reports = new Map<string, TimestampedReport>();
  readonly #published = new Map<string, PublishedDescription>();
  #assignedMembers = "";
  readonly #pollsInFlight = new Set<string>();
  #pollAssignments: readonly WatchAssignment[] = [];

  constructor(options: EndpointMonitorOptions) {
    this.#options = options;
  }

  /** An endpoint's last report; undefined without one. */
  reportOf(endpointId: string): TimestampedReport | undefined {
    return this.#reports.get(endpointId);
  }

  /** Applies the VM list and the operators' drains. */
  applyVmList(): void {
    const { state, parts, timer } = this.#options;
    const { vms, drains, takenOut } = state.read();
    const listed = vms.filter((vm) => vm.kind === "endpoint");
    parts.registry.replaceList(
      listed.map((vm) => ({
        address: toEndpointAddress(vm),
        state: vm.state,
      })),
      timer.now(),
    );
    for (const { id } of listed) {
      const incarnation = drains.endpoints[id] ?? takenOut.endpoints[id];
      if (incarnation === undefined) parts.registry.undrain(id);
      else parts.registry.drain(id, incarnation);
    }
    this.#assign();
  }

  /** Polls every endpoint assigned to this daemon. */
  poll(): void {
    if (this.#liveMemberIds() !== this.#assignedMembers) this.#assign();
    for (const { endpointId } of this.#pollAssignments) {
      const entry = this.#options.parts.registry.entryOf(endpointId);
      if (entry !== undefined) void this.#poll(entry.address);
    }
  }

  /** Polls the endpoints due for a probe and ejects latency outliers. */
  probe(): void {
    const { registry } = this.#options.parts;
    const now = this.#options.timer.now();
    for (const address of registry.probesDue(now)) void this.#poll(address);
    registry.ejectLatencyOutliers(now);
  }

  /** Applies a peer's reports of the endpoints that it polls. */
  applyPeerLoads(
    digest: Pick<DaemonDigest, "loads" | "changedReports">,
  ): void {
    const now = this.#options.timer.now();
    for (
      const { endpointId, report, ageMilliseconds } of digest.changedReports
    ) {
      this.#applyRelayedReport(endpointId, {
        report,
        at: now - ageMilliseconds,
      });
    }
    const { loads } = digest;
    for (const [index, endpointId] of loads.endpointIds.entries()) {
      const timestamped = this.#reports.get(endpointId);
      if (timestamped === undefined) continue;
      const report = {
        ...timestamped.report,
        sequence: loads.sequences[index] ?? 0,
        running: loads.running[index] ?? 0,
        waiting: loads.waiting[index] ?? 0,
        accepted: loads.accepted[index] ?? 0,
      };
      const at = now - (loads.agesMilliseconds[index] ?? 0);
      this.#applyRelayedReport(endpointId, { report, at });
    }
  }

  /** Creates the endpoint fields of this daemon's digest. */
  createLoadDigest(): LoadDigest {
    const now = this.#options.timer.now();
    const loads: LoadDigest["loads"] = {
      endpointIds: [],
      sequences: [],
      running: [],
      waiting: [],
      accepted: [],
      agesMilliseconds: [],
    };
    const changedReports: LoadDigest["changedReports"] = [];
    for (const { endpointId, publishes } of this.#pollAssignments) {
      const timestamped = this.#reports.get(endpointId);
      if (!publishes || timestamped === undefined) continue;
      const { report, at } = timestamped;
      const ageMilliseconds = Math.round(now - at);
      if (this.#needsFullReport(endpointId, report)) {
        changedReports.push({
          endpointId,
          report: copyReport(report),
          ageMilliseconds,
        });
        continue;
      }
      loads.endpointIds.push(endpointId);
      loads.sequences.push(report.sequence);
      loads.running.push(report.running);
      loads.waiting.push(report.waiting);
      loads.accepted.push(report.accepted);
      loads.agesMilliseconds.push(ageMilliseconds);
    }
    return { loads, changedReports, suspectEndpoints: [] };
  }

  /**
   * True while a report must be sent in full: for some time after a change,
   * because a digest may be lost, and periodically for peers that joined later.
   */
  #needsFullReport(endpointId: string, report: LoadReport): boolean {
    const now = this.#options.timer.now();
    const description = descriptionOf(report);
    const published = this.#published.get(endpointId);
    if (
      published?.description !== description ||
      now - published.since > FULL_REPORT_INTERVAL_MILLISECONDS
    ) {
      this.#published.set(endpointId, { description, since: now });
      return true;
    }
    return now - published.since < FULL_REPORT_MILLISECONDS;
  }

  #applyRelayedReport(
    endpointId: string,
    timestamped: TimestampedReport,
  ): void {
    const { parts, timer } = this.#options;
    const before = this.#reports.get(endpointId)?.report;
    const isStale = before?.incarnation === timestamped.report.incarnation &&
      before.sequence >= timestamped.report.sequence;
    if (isStale) return;
    this.#reports.set(endpointId, timestamped);
    const now = timer.now();
    parts.registry.report({
      endpointId,
      report: timestamped.report,
      now,
      relayedMilliseconds: now - timestamped.at,
    });
  }

  #liveMemberIds(): string {
    return this.#options.members().filter((member) => member.state === "live")
      .map((member) => member.daemonId).join();
  }

  #assign(): void {
    this.#assignedMembers = this.#liveMemberIds();
    const { daemonId, availabilityZone, state, members } = this.#options;
    this.#pollAssignments = assignWatches({
      self: { id: daemonId, availabilityZone },
      others: members().filter((member) => member.state === "live").map((
        member,
      ) => ({
        id: member.daemonId,
        availabilityZone: member.availabilityZone,
      })),
      endpoints: state.read().vms.filter((vm) => vm.kind === "endpoint"),
    });
  }

  async #poll(address: EndpointAddress): Promise<void> {
    const { endpointId } = address;
    if (this.#pollsInFlight.has(endpointId)) return;
    this.#pollsInFlight.add(endpointId);
    const { parts, endpoints, timer } = this.#options;
    try {
      const report = await endpoints.load(address);
      const now = timer.now();
      this.#reports.set(endpointId, { report, at: now });
      parts.registry.report({ endpointId, report, now, direct: true });
      await this.#updatePrefixIndex(address);
    } catch (thrown) {
      const isRefused = thrown instanceof KelpsparError &&
        thrown.result === "endpoint_refused";
      parts.registry.probeFailed({
        endpointId,
        result: isRefused ? "refused" : "failed",
        at: timer.now(),
      });
    } finally {
      this.#pollsInFlight.delete(endpointId);
    }
  }

  /** A lost cache event only costs latency; its failure isn't a failed probe. */
  async #updatePrefixIndex(address: EndpointAddress): Promise<void> {
    const { parts, endpoints, configuration } = this.#options;
    const service = configuration.services().get(address.service);
    if (service?.kind !== "engine") return;
    const { endpointId } = address;
    const cursor = parts.prefixes.cursorOf(endpointId);
    try {
      const page = await endpoints.cacheEvents(address, cursor);
      if (parts.prefixes.applyPage(endpointId, page) === "nothing") return;
      const snapshot = await endpoints.cacheSnapshot(address);
      parts.prefixes.applySnapshot(endpointId, snapshot);
    } catch {
      parts.prefixes.remove(endpointId);
    }
  }
}

/** The fields of a report whose change requires sending it in full. */
function descriptionOf(report: LoadReport): string {
  const { incarnation, state, concurrency, models, adapters, role } = report;
  return JSON.stringify([
    incarnation,
    state,
    concurrency,
    models,
    adapters,
    role,
  ]);
}

function copyReport(
  report: LoadReport,
): LoadDigest["changedReports"][number]["report"] {
  return {
    ...report,
    models: { ...report.models },
    adapters: [...report.adapters],
  };
}
