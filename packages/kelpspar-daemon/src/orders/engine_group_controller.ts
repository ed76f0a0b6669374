import type { PlannedEngine, PlannerStep } from "kelpspar-decisions/leases";
import type { ListedVm } from "kelpspar-backends";
import type { DesiredEngineState } from "kelpspar-shared";
import type { EngineGroupControllerOptions } from "./engine_group_controller_options.ts";
import {
  grantKey,
  planEngineTargets,
  planOrders,
} from "kelpspar-decisions/leases";
import { toKelpsparError } from "kelpspar-shared";
import { toEndpointAddress } from "../endpoints/to_endpoint_address.ts";
import { errorDetails } from "../log/daemon_log.ts";
import { GroupLease } from "./group_lease.ts";

type OrderedEngine = NonNullable<PlannedEngine["lastOrder"]>;

/**
 * Brings the engines of one group to the state that the configuration requires,
 * while this daemon holds the group's lease. It changes a few engines at a time,
 * takes each out of routing first, and respects the weight store's rate limit.
 */
export class EngineGroupController {
  readonly #options: EngineGroupControllerOptions;
  readonly #lease: GroupLease;
  readonly #lastOrders = new Map<string, OrderedEngine>();
  readonly #removedFromRoutingAt = new Map<string, number>();
  readonly #grants = new Map<string, number>();
  readonly #grantRetryAt = new Map<string, number>();
  #isPlanning = false;

  constructor(options: EngineGroupControllerOptions) {
    this.#options = options;
    this.#lease = new GroupLease({
      group: options.service,
      holder: options.incarnation,
      table: options.table,
      timer: options.timer,
    });
  }

  /** Advances the lease; call several times a second. */
  tick(): void {
    this.#lease.tick();
  }

  /**
   * Releases the lease, unless an order may be in flight. In that case the lease
   * expires, and the next holder waits long enough for that order.
   */
  stop(): void {
    if (!this.#isPlanning) this.#lease.stop();
  }

  /** Executes the next steps if this daemon holds the lease. */
  async plan(): Promise<void> {
    if (this.#isPlanning || this.#lease.fencingNumber() === undefined) return;
    this.#isPlanning = true;
    try {
      for (const step of this.#planSteps()) await this.#execute(step);
    } catch (thrown) {
      const error = toKelpsparError(thrown);
      this.#options.log.warn("engine group step failed", errorDetails(error));
    } finally {
      this.#isPlanning = false;
    }
  }

  #engines(): readonly ListedVm[] {
    const { state, service } = this.#options;
    return state.read().vms.filter((vm) =>
      vm.kind === "endpoint" && vm.service === service && vm.state === "live"
    );
  }

  #planSteps(): readonly PlannerStep[] {
    const { configuration, service, timer } = this.#options;
    const wanted = configuration.services().get(service)?.models ?? [];
    const models = (configuration.current()?.models ?? []).filter((model) =>
      wanted.includes(model.id)
    );
    // Engine groups without configured models are not managed by kelpspar.
    if (models.length === 0) return [];
    const vms = this.#engines();
    const targets = planEngineTargets(
      vms.map(({ id }) => ({ endpointId: id, role: this.#roleOf(id) })),
      { models },
    );
    return planOrders({
      now: timer.now(),
      engines: vms.flatMap((vm) => {
        const desired = targets.get(vm.id);
        return desired === undefined
          ? []
          : [this.#toPlannedEngine(vm, desired)];
      }),
      minimumReady: new Map(
        models.map((model) => [model.id, model.minimumReady]),
      ),
      grants: this.#grants,
    });
  }

  #roleOf(endpointId: string): DesiredEngineState["role"] {
    return this.#options.endpointMonitor.reportOf(endpointId)?.report.role ??
      "any";
  }

  #toPlannedEngine(vm: ListedVm, desired: DesiredEngineState): PlannedEngine {
    const { endpointMonitor, parts } = this.#options;
    const known = endpointMonitor.reportOf(vm.id);
    const removedFromRoutingAt = this.#trackTakenOut(vm);
    const ordered = this.#lastOrders.get(vm.id);
    return {
      endpointId: vm.id,
      availabilityZone: vm.availabilityZone,
      desired,
      ...(known === undefined
        ? {}
        : { report: known.report, reportAt: known.at }),
      inFlight: parts.registry.entryOf(vm.id)?.load.inFlight ?? 0,
      ...(removedFromRoutingAt === undefined ? {} : { removedFromRoutingAt }),
      ...(ordered === undefined ? {} : { lastOrder: ordered }),
    };
  }

  /** When an engine was taken out of routing, as known to this lease holder. */
  #trackTakenOut(vm: ListedVm): number | undefined {
    const { state, timer } = this.#options;
    const { takenOut } = state.read();
    if (takenOut.endpoints[vm.id] !== vm.incarnation) {
      this.#removedFromRoutingAt.delete(vm.id);
      return undefined;
    }
    const known = this.#removedFromRoutingAt.get(vm.id);
    if (known !== undefined) return known;
    // Taken out by another holder: counting from now never ends a wait too early.
    this.#removedFromRoutingAt.set(vm.id, timer.now());
    return timer.now();
  }

  async #execute(step: PlannerStep): Promise<void> {
    await this.#handlers[step.type](step as never);
  }

  readonly #handlers: {
    readonly [Type in PlannerStep["type"]]: (
      step: Extract<PlannerStep, { readonly type: Type }>,
    ) => Promise<void>;
  } = {
    request_grant: (step) => this.#requestGrant(step.model, step.version),
    take_out: (step) => this.#takeOutOfRouting(step.endpointId),
    put_back: (step) => this.#returnToRouting(step.endpointId),
    order: (step) => this.#sendOrder(step),
    wait: () => Promise.resolve(),
  };

  async #requestGrant(model: string, version: string): Promise<void> {
    const { weightStore, timer } = this.#options;
    const key = grantKey(model, version);
    if (timer.now() < (this.#grantRetryAt.get(key) ?? 0)) return;
    const grant = await weightStore.requestLoad(model, version);
    if (grant.granted) {
      this.#grants.set(key, (this.#grants.get(key) ?? 0) + 1);
      return;
    }
    const retryAt = timer.now() + grant.retryAfterMilliseconds;
    this.#grantRetryAt.set(key, retryAt);
  }

  async #takeOutOfRouting(endpointId: string): Promise<void> {
    const { takenOut, onTakenOut, timer } = this.#options;
    const vm = this.#engines().find(({ id }) => id === endpointId);
    if (vm === undefined) return;
    const { incarnation } = vm;
    onTakenOut(
      await takenOut.drain({ kind: "endpoint", id: endpointId, incarnation }),
    );
    this.#removedFromRoutingAt.set(endpointId, timer.now());
  }

  async #returnToRouting(endpointId: string): Promise<void> {
    const { takenOut, onTakenOut } = this.#options;
    onTakenOut(await takenOut.undrain({ kind: "endpoint", id: endpointId }));
    this.#removedFromRoutingAt.delete(endpointId);
  }

  async #sendOrder(
    step: Extract<PlannerStep, { readonly type: "order" }>,
  ): Promise<void> {
    const { endpointId, desired } = step;
    const { endpoints, log, service, timer } = this.#options;
    const vm = this.#engines().find(({ id }) => id === endpointId);
    // Read right before the order is sent: the lease may have expired since
    // planning, and an endpoint that ignores fencing numbers cannot reject it.
    const fencingNumber = this.#lease.fencingNumber();
    if (vm === undefined || fencingNumber === undefined) return;
    for (const key of step.grants) {
      this.#grants.set(key, (this.#grants.get(key) ?? 1) - 1);
    }
    this.#lastOrders.set(endpointId, { desired, at: timer.now() });
    const order = { group: service, fencingNumber, desired };
    await endpoints.order(toEndpointAddress(vm), order);
    log.info("engine order sent", { endpoint: endpointId, fencingNumber });
  }
}
