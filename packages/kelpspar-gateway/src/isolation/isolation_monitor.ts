import type { RandomSource, TimerService } from "kelpspar-shared";
import type { EndpointEntry } from "../endpoints/endpoint_entry.ts";
import type { EndpointRegistry } from "../endpoints/endpoint_registry.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { EndpointClient } from "../requests/endpoint_call.ts";
import type { ConnectionAttempts } from "./connection_attempts.ts";
import { chooseCheckedEndpoints } from "./choose_checked_endpoints.ts";

/** Endpoints that are checked after a failed attempt to connect. */
const CHECKED_ENDPOINTS = 3;
/**
 * A daemon that lists a single endpoint can't tell whether the endpoint or its
 * own network failed.
 */
const MINIMUM_ENDPOINTS = 2;
/** Interval of the checks that detect the end of an isolation. */
const PROBE_INTERVAL_MILLISECONDS = 250;
const PROBED_ENDPOINTS = 2;

/** Called when an isolation begins or ends. */
export type IsolationListener = (isIsolated: boolean) => void;

/** Dependencies of an `IsolationMonitor`. */
export interface IsolationMonitorOptions {
  readonly registry: Pick<EndpointRegistry, "ids" | "find" | "size">;
  readonly endpoints: Pick<EndpointClient, "check">;
  readonly attempts: ConnectionAttempts;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: GatewayLog;
}

/**
 * Detects that this daemon is isolated: it can't open connections to any
 * endpoint. A failed attempt alone may be the endpoint's fault, so endpoints of
 * other services are checked before the daemon counts as isolated.
 */
export class IsolationMonitor {
  readonly #options: IsolationMonitorOptions;
  readonly #listeners = new Set<IsolationListener>();
  #isIsolated = false;
  #isolatedSince = 0;
  #connectedAt = Number.NEGATIVE_INFINITY;
  /** When connections to endpoints were last opened, by endpoint id. */
  readonly #connectedAtById = new Map<string, number>();
  #verification: Promise<void> | undefined;
  #stopProbing = (): void => {};

  constructor(options: IsolationMonitorOptions) {
    this.#options = options;
  }

  /** Whether this daemon reaches no endpoint. */
  get isIsolated(): boolean {
    return this.#isIsolated;
  }

  /** Resolves to `isIsolated` once no check is in progress. */
  async verified(): Promise<boolean> {
    await this.#verification;
    return this.#isIsolated;
  }

  registerListener(listener: IsolationListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Starts to observe attempts; returns the teardown. */
  register(): () => void {
    const stopListening = this.#options.attempts.registerListener(
      ({ endpointId, isConnected, startedAt }) => {
        if (isConnected) this.#recordConnection(endpointId);
        else this.#recordFailure(endpointId, startedAt);
      },
    );
    return () => {
      stopListening();
      this.#stopProbing();
    };
  }

  #recordConnection(endpointId: string): void {
    this.#connectedAt = this.#options.timer.now();
    this.#connectedAtById.set(endpointId, this.#connectedAt);
    if (this.#connectedAtById.size > 2 * this.#options.registry.size) {
      this.#forgetUnlisted();
    }
    if (this.#isIsolated) this.#setIsolated(false);
  }

  #recordFailure(endpointId: string, startedAt: number): void {
    const { registry } = this.#options;
    const isExplained = startedAt < this.#connectedAt;
    const isUnclear = registry.size < MINIMUM_ENDPOINTS;
    if (this.#isIsolated || isExplained || isUnclear) return;
    this.#verification ??= this.#verify(endpointId).finally(() => {
      this.#verification = undefined;
    });
  }

  async #verify(failedId: string): Promise<void> {
    const startedAt = this.#options.timer.now();
    const checked = this.#choose(CHECKED_ENDPOINTS, failedId);
    await this.#check(checked);
    const hasConnected = this.#connectedAt >= startedAt;
    if (!hasConnected && checked.length > 0) this.#setIsolated(true);
  }

  #choose(count: number, failedId?: string): readonly EndpointEntry[] {
    const { registry, random } = this.#options;
    const entries = registry.ids.flatMap((id) =>
      registry.find(id)?.entry ?? []
    );
    this.#forgetUnlisted();
    return chooseCheckedEndpoints(entries, {
      count,
      failedId,
      random,
      connectedAt: (id) => this.#connectedAtById.get(id),
    });
  }

  #forgetUnlisted(): void {
    const { registry } = this.#options;
    for (const id of this.#connectedAtById.keys()) {
      if (registry.find(id) === undefined) this.#connectedAtById.delete(id);
    }
  }

  /** The outcomes arrive through `attempts`. */
  async #check(entries: readonly EndpointEntry[]): Promise<void> {
    const { endpoints } = this.#options;
    await Promise.all(entries.map((entry) => endpoints.check(entry)));
  }

  #setIsolated(isIsolated: boolean): void {
    const { timer, log, registry } = this.#options;
    this.#isIsolated = isIsolated;
    if (isIsolated) {
      this.#isolatedSince = timer.now();
      log.warn("isolated from all endpoints", { endpoints: registry.size });
      this.#stopProbing = timer.registerInterval(
        () => void this.#check(this.#choose(PROBED_ENDPOINTS)),
        PROBE_INTERVAL_MILLISECONDS,
      );
    } else {
      this.#stopProbing();
      log.info("isolation ended", {
        isolatedMilliseconds: Math.round(timer.now() - this.#isolatedSince),
      });
    }
    for (const listener of this.#listeners) listener(isIsolated);
  }
}
