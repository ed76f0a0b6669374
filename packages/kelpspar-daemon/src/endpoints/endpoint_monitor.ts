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

const NEWS_MILLISECONDS = 2_000;
const NEWS_AGAIN_MILLISECONDS = 20_000;

/** What the watch of endpoints works on. */
export interface EndpointWatchOptions {
  readonly daemonId: string;
  readonly availabilityZone: string;
  readonly state: StateStore<DaemonState>;
  readonly configuration: ConfigurationIndexReader;
  readonly parts: DecisionParts;
  readonly endpoints: EndpointClient;
  readonly timer: TimerService;
  /** The other daemons that share the watch. */
  readonly members: () => readonly Member[];
}

interface PublishedShape {
  readonly shape: string;
  readonly since: number;
}

/** A report and when it was made. */
export interface KnownReport {
  readonly report: LoadReport;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/** The part of a digest that is about endpoints. */
export type PublishedLoads = Pick<
  PeerDigest["member"],
  "loads" | "changedReports" | "suspectEndpoints"
>;

/**
 * Follows the endpoints: who is there, how loaded they are, what their caches
 * hold. Beyond a few endpoints and daemons each is asked by two daemons only,
 * and the others learn of it by digests, so that what an endpoint is asked
 * does not grow with the fleet.
 */
export class EndpointWatch {
  readonly #options: EndpointWatchOptions;
  readonly #reports = new Map<string, KnownReport>();
  readonly #published = new Map<string, PublishedShape>();
  #assignedTo = "";
  readonly #busy = new Set<string>();
  #watches: readonly WatchAssignment[] = [];

  constructor(options: EndpointWatchOptions) {
    this.#options = options;
  }

  /** An endpoint's last report and when it was made, if there is one. */
  reportOf(endpointId: string): KnownReport | undefined {
    return this.#reports.get(endpointId);
  }

  /** Takes in the VM list and the operators' drains. */
  replaceList(): void {
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

  /** Asks every endpoint that this daemon watches. */
  poll(): void {
    if (this.#liveMembers() !== this.#assignedTo) this.#assign();
    for (const { endpointId } of this.#watches) {
      const entry = this.#options.parts.registry.entryOf(endpointId);
      if (entry !== undefined) void this.#ask(entry.address);
    }
  }

  /** Asks again those that are in doubt, and compares latencies. */
  probe(): void {
    const { registry } = this.#options.parts;
    const now = this.#options.timer.now();
    for (const address of registry.probesDue(now)) void this.#ask(address);
    registry.ejectLatencyOutliers(now);
  }

  /** Takes in what a peer says of the endpoints that it watches. */
  heardLoads(
    digest: Pick<DaemonDigest, "loads" | "changedReports">,
  ): void {
    const now = this.#options.timer.now();
    for (
      const { endpointId, report, ageMilliseconds } of digest.changedReports
    ) {
      this.#takeRelayed(endpointId, { report, at: now - ageMilliseconds });
    }
    const { loads } = digest;
    for (const [index, endpointId] of loads.endpointIds.entries()) {
      const known = this.#reports.get(endpointId);
      if (known === undefined) continue;
      const report = {
        ...known.report,
        sequence: loads.sequences[index] ?? 0,
        running: loads.running[index] ?? 0,
        waiting: loads.waiting[index] ?? 0,
        accepted: loads.accepted[index] ?? 0,
      };
      const at = now - (loads.agesMilliseconds[index] ?? 0);
      this.#takeRelayed(endpointId, { report, at });
    }
  }

  /** What this daemon's digest says of endpoints. */
  publishLoads(): PublishedLoads {
    const now = this.#options.timer.now();
    const loads: PublishedLoads["loads"] = {
      endpointIds: [],
      sequences: [],
      running: [],
      waiting: [],
      accepted: [],
      agesMilliseconds: [],
    };
    const changedReports: PublishedLoads["changedReports"] = [];
    for (const { endpointId, publishes } of this.#watches) {
      const known = this.#reports.get(endpointId);
      if (!publishes || known === undefined) continue;
      const { report, at } = known;
      const ageMilliseconds = Math.round(now - at);
      if (this.#isNews(endpointId, report)) {
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
   * True while a report must travel whole: for a while after it changed, since
   * a digest may be lost, and now and then for peers that came later.
   */
  #isNews(endpointId: string, report: LoadReport): boolean {
    const now = this.#options.timer.now();
    const shape = shapeOf(report);
    const known = this.#published.get(endpointId);
    if (known?.shape !== shape || now - known.since > NEWS_AGAIN_MILLISECONDS) {
      this.#published.set(endpointId, { shape, since: now });
      return true;
    }
    return now - known.since < NEWS_MILLISECONDS;
  }

  #takeRelayed(endpointId: string, known: KnownReport): void {
    const { parts, timer } = this.#options;
    const before = this.#reports.get(endpointId)?.report;
    const isOld = before?.incarnation === known.report.incarnation &&
      before.sequence >= known.report.sequence;
    if (isOld) return;
    this.#reports.set(endpointId, known);
    const now = timer.now();
    parts.registry.report({
      endpointId,
      report: known.report,
      now,
      relayedMilliseconds: now - known.at,
    });
  }

  #liveMembers(): string {
    return this.#options.members().filter((one) => one.state === "live")
      .map((one) => one.daemonId).join();
  }

  #assign(): void {
    this.#assignedTo = this.#liveMembers();
    const { daemonId, availabilityZone, state, members } = this.#options;
    this.#watches = assignWatches({
      self: { id: daemonId, availabilityZone },
      others: members().filter((one) => one.state === "live").map((one) => ({
        id: one.daemonId,
        availabilityZone: one.availabilityZone,
      })),
      endpoints: state.read().vms.filter((vm) => vm.kind === "endpoint"),
    });
  }

  async #ask(address: EndpointAddress): Promise<void> {
    const { endpointId } = address;
    if (this.#busy.has(endpointId)) return;
    this.#busy.add(endpointId);
    const { parts, endpoints, timer } = this.#options;
    try {
      const report = await endpoints.load(address);
      const now = timer.now();
      this.#reports.set(endpointId, { report, at: now });
      parts.registry.report({ endpointId, report, now, direct: true });
      await this.#followCache(address);
    } catch (thrown) {
      const isRefused = thrown instanceof KelpsparError &&
        thrown.result === "endpoint_refused";
      parts.registry.probeFailed({
        endpointId,
        result: isRefused ? "refused" : "failed",
        at: timer.now(),
      });
    } finally {
      this.#busy.delete(endpointId);
    }
  }

  /** A lost event costs only time, so that its failure is no probe's failure. */
  async #followCache(address: EndpointAddress): Promise<void> {
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

/** What must travel whole when it changes. */
function shapeOf(report: LoadReport): string {
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
): PublishedLoads["changedReports"][number]["report"] {
  return {
    ...report,
    models: { ...report.models },
    adapters: [...report.adapters],
  };
}
