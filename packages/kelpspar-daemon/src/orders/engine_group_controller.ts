import type { PlannedEngine, PlannerStep } from "kelpspar-decisions/leases";
import type { ListedVm } from "kelpspar-backends";
import type { DesiredEngineState } from "kelpspar-shared";
import type { EngineGroupOptions } from "./engine_group_controller_options.ts";
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
 * Brings the engines of one group to the state that the configuration wants,
 * while this daemon holds the group's lease: a few at a time, out of routing
 * first, at the weight store's rate.
 */
export class EngineGroup {
  readonly #options: EngineGroupOptions;
  readonly #lease: GroupLease;
  readonly #ordered = new Map<string, OrderedEngine>();
  readonly #takenOutAt = new Map<string, number>();
  readonly #grants = new Map<string, number>();
  readonly #grantsRetryAt = new Map<string, number>();
  #isPlanning = false;

  constructor(options: EngineGroupOptions) {
    this.#options = options;
    this.#lease = new GroupLease({
      group: options.service,
      holder: options.incarnation,
      table: options.table,
      timer: options.timer,
    });
  }

  /** Follows the lease; to be called several times a second. */
  tick(): void {
    this.#lease.tick();
  }

  /**
   * Gives the lease back, unless an order may be on its way: then it lapses,
   * and the next holder waits long enough for that order.
   */
  stop(): void {
    if (!this.#isPlanning) this.#lease.stop();
  }

  /** Takes the next steps, if this daemon holds the lease. */
  async plan(): Promise<void> {
    if (this.#isPlanning || this.#lease.fencingNumber() === undefined) return;
    this.#isPlanning = true;
    try {
      for (const step of this.#steps()) await this.#take(step);
    } catch (thrown) {
      const error = toKelpsparError(thrown);
      this.#options.log.warn("Engine step failed", errorDetails(error));
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

  #steps(): readonly PlannerStep[] {
    const { configuration, service, timer } = this.#options;
    const wanted = configuration.services().get(service)?.models ?? [];
    const models = (configuration.current()?.models ?? []).filter((model) =>
      wanted.includes(model.id)
    );
    // An engine pool that names no models is not the system's to order.
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
        return desired === undefined ? [] : [this.#describe(vm, desired)];
      }),
      minimumReady: new Map(models.map((one) => [one.id, one.minimumReady])),
      grants: this.#grants,
    });
  }

  #roleOf(endpointId: string): DesiredEngineState["role"] {
    return this.#options.watch.reportOf(endpointId)?.report.role ?? "any";
  }

  #describe(vm: ListedVm, desired: DesiredEngineState): PlannedEngine {
    const { watch, parts } = this.#options;
    const known = watch.reportOf(vm.id);
    const takenOutAt = this.#noteTakenOut(vm);
    const ordered = this.#ordered.get(vm.id);
    return {
      endpointId: vm.id,
      availabilityZone: vm.availabilityZone,
      desired,
      ...(known === undefined
        ? {}
        : { report: known.report, reportAt: known.at }),
      inFlight: parts.registry.entryOf(vm.id)?.load.inFlight ?? 0,
      ...(takenOutAt === undefined ? {} : { removedFromRoutingAt: takenOutAt }),
      ...(ordered === undefined ? {} : { lastOrder: ordered }),
    };
  }

  /** Since when an engine is out, as far as this holder knows. */
  #noteTakenOut(vm: ListedVm): number | undefined {
    const { state, timer } = this.#options;
    const { takenOut } = state.read();
    if (takenOut.endpoints[vm.id] !== vm.incarnation) {
      this.#takenOutAt.delete(vm.id);
      return undefined;
    }
    const known = this.#takenOutAt.get(vm.id);
    if (known !== undefined) return known;
    // Another holder took it out; count from now, which is never too early.
    this.#takenOutAt.set(vm.id, timer.now());
    return timer.now();
  }

  async #take(step: PlannerStep): Promise<void> {
    await this.#handlers[step.type](step as never);
  }

  readonly #handlers: {
    readonly [Type in PlannerStep["type"]]: (
      step: Extract<PlannerStep, { readonly type: Type }>,
    ) => Promise<void>;
  } = {
    request_grant: (step) => this.#requestGrant(step.model, step.version),
    take_out: (step) => this.#takeOut(step.endpointId),
    put_back: (step) => this.#putBack(step.endpointId),
    order: (step) => this.#order(step),
    wait: () => Promise.resolve(),
  };

  async #requestGrant(model: string, version: string): Promise<void> {
    const { weightStore, timer } = this.#options;
    const key = grantKey(model, version);
    if (timer.now() < (this.#grantsRetryAt.get(key) ?? 0)) return;
    const grant = await weightStore.requestLoad(model, version);
    if (grant.granted) {
      this.#grants.set(key, (this.#grants.get(key) ?? 0) + 1);
      return;
    }
    const retryAt = timer.now() + grant.retryAfterMilliseconds;
    this.#grantsRetryAt.set(key, retryAt);
  }

  async #takeOut(endpointId: string): Promise<void> {
    const { takenOut, onTakenOut, timer } = this.#options;
    const vm = this.#engines().find(({ id }) => id === endpointId);
    if (vm === undefined) return;
    const { incarnation } = vm;
    onTakenOut(
      await takenOut.drain({ kind: "endpoint", id: endpointId, incarnation }),
    );
    this.#takenOutAt.set(endpointId, timer.now());
  }

  async #putBack(endpointId: string): Promise<void> {
    const { takenOut, onTakenOut } = this.#options;
    onTakenOut(await takenOut.undrain({ kind: "endpoint", id: endpointId }));
    this.#takenOutAt.delete(endpointId);
  }

  async #order(
    step: Extract<PlannerStep, { readonly type: "order" }>,
  ): Promise<void> {
    const { endpointId, desired } = step;
    const { endpoints, log, service, timer } = this.#options;
    const vm = this.#engines().find(({ id }) => id === endpointId);
    // Asked right before the order leaves: the lease may have lapsed since the
    // plan was made, and an endpoint that ignores the number cannot tell.
    const fencingNumber = this.#lease.fencingNumber();
    if (vm === undefined || fencingNumber === undefined) return;
    for (const key of step.grants) {
      this.#grants.set(key, (this.#grants.get(key) ?? 1) - 1);
    }
    this.#ordered.set(endpointId, { desired, at: timer.now() });
    const order = { group: service, fencingNumber, desired };
    await endpoints.order(toEndpointAddress(vm), order);
    log.info("Engine ordered", { endpoint: endpointId, fencingNumber });
  }
}
