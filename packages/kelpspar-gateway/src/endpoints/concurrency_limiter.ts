import type { RandomSource, TimerService } from "kelpspar-shared";
import type { ActiveConfiguration } from "../configuration/active_configuration.ts";
import type { BrittleServices } from "./brittle_services.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { EndpointState } from "./endpoint_state.ts";
import { RendezvousNodes } from "kelpspar-decisions/routing";
import { concurrencyQuota } from "./concurrency_quota.ts";
import { OpenCalls } from "./open_calls.ts";
import { SlotQueue } from "./slot_queue.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/** How long the list of daemons that send requests is reused. */
const SENDERS_CACHE_MILLISECONDS = 250;
/** Shortest pause after a refusal by a brittle endpoint. */
const MINIMUM_PAUSE_MILLISECONDS = 1_000;

/**
 * Share of the longest wait up to which a request may be expected to wait: calls
 * that take longer than expected would otherwise end most waits in vain.
 */
const ADMITTED_WAIT_SHARE = 0.8;

/** Dependencies of a `ConcurrencyLimiter`. */
export interface ConcurrencyLimiterOptions {
  readonly configuration: Pick<ActiveConfiguration, "table">;
  readonly registry: Pick<EndpointRegistry, "availableFor">;
  readonly brittle: BrittleServices;
  readonly daemonId: string;
  /** Names of the daemons that send requests, this one included. */
  readonly senders: () => readonly string[];
  readonly timer: TimerService;
  readonly random: RandomSource;
}

/** The daemons that share the endpoints. */
interface Senders {
  readonly nodes: RendezvousNodes;
  readonly at: number;
  /** Those with a quota at an endpoint, by service. */
  readonly quotaHolders: Map<string, ReadonlySet<string>>;
}

/** A request that waits for an endpoint. */
export interface SlotWait {
  readonly service: string;
  /** Expected time of a call, milliseconds. */
  readonly callMilliseconds: number;
  readonly maximumMilliseconds: number;
  readonly signal: AbortSignal;
}

/**
 * Limits the requests that are open at brittle endpoints, so that all daemons
 * together don't exceed what the endpoints run at once. Stage endpoints get no
 * more from the coordinator anyway.
 */
export class ConcurrencyLimiter {
  readonly #options: ConcurrencyLimiterOptions;
  readonly #queues = new Map<string, SlotQueue>();
  /** Calls of this daemon by service. */
  readonly #calls = new Map<string, OpenCalls>();
  #senders: Senders | undefined;

  constructor(options: ConcurrencyLimiterOptions) {
    this.#options = options;
  }

  isLimited(service: string): boolean {
    const { brittle, configuration, timer } = this.#options;
    const refusals = brittle.refusalsPerSecond(service, timer.now());
    if (refusals === undefined) return false;
    return configuration.table?.findService(service)?.pieces === undefined;
  }

  /**
   * The daemons that share the places of a service's endpoints, if there are
   * more daemons than places and this one has none; otherwise undefined.
   */
  quotaHolders(service: string): ReadonlySet<string> | undefined {
    if (!this.isLimited(service)) return undefined;
    const senders = this.#currentSenders();
    const known = senders.quotaHolders.get(service);
    const holders = known ?? this.#findQuotaHolders(service, senders.nodes);
    senders.quotaHolders.set(service, holders);
    const isHolder = holders.size === 0 || holders.has(this.#options.daemonId);
    return isHolder ? undefined : holders;
  }

  /** Whether the endpoint may get a request of this daemon now. */
  mayStart(endpoint: EndpointState): boolean {
    return !this.isLimited(endpoint.entry.service) ||
      endpoint.inFlight < this.#quotaOf(endpoint);
  }

  /**
   * Waits until a call of this daemon ends; false at once if that would take
   * too long. Another request may take the place.
   */
  waitForSlot(wait: SlotWait): Promise<boolean> {
    const { callMilliseconds, maximumMilliseconds, signal } = wait;
    const queue = this.#queueOf(wait.service);
    const expected = this.expectedWait(wait.service, callMilliseconds);
    if (expected > maximumMilliseconds * ADMITTED_WAIT_SHARE) {
      return Promise.resolve(false);
    }
    return queue.wait(maximumMilliseconds, signal);
  }

  /**
   * Expected time until one more request gets a place, milliseconds; 0 if one is
   * free. `callMilliseconds` is assumed until a call has ended.
   */
  expectedWait(service: string, callMilliseconds: number): number {
    const now = this.#options.timer.now();
    const calls = this.#callsOf(service);
    const ahead = this.#queues.get(service)?.size ?? 0;
    if (calls.size + ahead < this.#healthyQuota(service, now)) return 0;
    return calls.expectedWait({
      ahead,
      initialCallMilliseconds: callMilliseconds,
      now,
    });
  }

  /** Records the start of a call; returns what records its end. */
  startCall({ entry }: EndpointState): (hasRun: boolean) => void {
    const { timer } = this.#options;
    const end = this.#callsOf(entry.service).start(timer.now());
    return (hasRun) => {
      end({ at: timer.now(), hasRun });
      this.#queues.get(entry.service)?.wakeFirst();
    };
  }

  /**
   * Pauses a brittle endpoint that refused a request, for so long that refusals
   * of all daemons together stay below what it bears.
   */
  recordRefusal(endpoint: EndpointState): void {
    const { service } = endpoint.entry;
    const { brittle, timer, random } = this.#options;
    const refusals = brittle.refusalsPerSecond(service, timer.now());
    if (refusals === undefined || !this.isLimited(service)) return;
    const share = this.#currentSenders().nodes.size / Math.max(1, refusals);
    const pause = Math.max(
      MINIMUM_PAUSE_MILLISECONDS,
      share * MILLISECONDS_PER_SECOND,
    );
    endpoint.pause(timer.now() + pause * (1 + random.next() / 2));
  }

  /** Requests that this daemon may have open at healthy endpoints. */
  #healthyQuota(service: string, now: number): number {
    return this.#options.registry.availableFor(service)
      .filter((endpoint) => endpoint.isHealthy(now))
      .reduce((sum, endpoint) => sum + this.#quotaOf(endpoint), 0);
  }

  #callsOf(service: string): OpenCalls {
    const known = this.#calls.get(service);
    if (known !== undefined) return known;
    const calls = new OpenCalls();
    this.#calls.set(service, calls);
    return calls;
  }

  #queueOf(service: string): SlotQueue {
    const known = this.#queues.get(service);
    if (known !== undefined) return known;
    const queue = new SlotQueue(this.#options.timer);
    this.#queues.set(service, queue);
    return queue;
  }

  #findQuotaHolders(
    service: string,
    daemons: RendezvousNodes,
  ): ReadonlySet<string> {
    const endpoints = this.#options.registry.availableFor(service);
    return new Set(
      endpoints.flatMap(({ entry, load }) =>
        daemons.best(entry.id, load.slots)
      ),
    );
  }

  /**
   * A daemon without a quota at any endpoint of the service may use one when it
   * can't relay its requests to those that have one.
   */
  #quotaOf({ entry, load }: EndpointState): number {
    const quota = concurrencyQuota({
      endpointId: entry.id,
      capacity: load.slots,
      daemonId: this.#options.daemonId,
      daemons: this.#currentSenders().nodes,
    });
    if (quota > 0) return quota;
    return this.quotaHolders(entry.service) === undefined ? 0 : 1;
  }

  #currentSenders(): Senders {
    const { senders, timer } = this.#options;
    const now = timer.now();
    const known = this.#senders;
    if (known !== undefined && now - known.at < SENDERS_CACHE_MILLISECONDS) {
      return known;
    }
    const current = {
      nodes: new RendezvousNodes(senders()),
      at: now,
      quotaHolders: new Map<string, ReadonlySet<string>>(),
    };
    this.#senders = current;
    return current;
  }
}
