import type { Configuration } from "kelpspar-configuration";
import type { EndpointAddress } from "kelpspar-shared";
import type { LoadDefaults } from "./callers/load_defaults.ts";
import type { WorldEndpoint } from "./endpoint/world_endpoint.ts";
import type { WorldMutation } from "./world_mutation.ts";
import { InMemoryTable } from "kelpspar-standins";
import { SeededRandom } from "kelpspar-shared";
import { ActionQueue } from "./action_queue.ts";
import { createLoadDefaults } from "./callers/load_defaults.ts";
import { Callers } from "./callers/callers.ts";
import { WorldDaemon } from "./daemon/world_daemon.ts";
import { WorldPeerClient } from "./daemon/world_peer_client.ts";
import { ExecutionLog } from "./endpoint/execution_log.ts";
import { WorldEndpointClient } from "./endpoint/world_endpoint_client.ts";
import { Network } from "./network/network.ts";
import { Operators } from "./operators/operators.ts";
import { GrantingWeightStore } from "./platform/granting_weight_store.ts";
import { WorldTable } from "./platform/world_table.ts";
import { WorldVmList } from "./platform/world_vm_list.ts";
import { WorldTimer } from "./world_timer.ts";
import { createDaemonSettings } from "./site/create_daemon_settings.ts";
import { createEndpoint } from "./site/create_endpoint.ts";
import { createDaemonVm, createEndpointVm } from "./site/create_vms.ts";
import { VmRows } from "./site/vm_rows.ts";
import { readScenarioConfiguration } from "./scenario_configuration.ts";

/** Parameters of a `World`. */
export interface WorldOptions {
  readonly seed: number;
  readonly mutation: WorldMutation;
}

/** The size of a site. */
export interface SitePlan {
  readonly daemons: number;
  readonly engines: number;
  /** Number of endpoints of each plain service. */
  readonly plain: number;
}

const NEVER_MILLISECONDS = 1_000_000_000;
const WARM_UP_MILLISECONDS = 3_000;
const PLATFORM_TIMEOUT_MILLISECONDS = 500;

/**
 * Runs several real daemon cores in one process over in-memory fakes of their
 * environment, with manual time and seeded randomness, so that a run is
 * reproducible.
 */
export class World {
  readonly timer = new WorldTimer({ startAt: 1_000 });
  readonly random: SeededRandom;
  readonly network: Network;
  readonly table: InMemoryTable;
  readonly vms: VmRows;
  readonly executions = new ExecutionLog();
  readonly endpoints: WorldEndpoint[] = [];
  readonly callers: Callers;
  readonly operators: Operators;
  readonly actionQueue: ActionQueue;
  readonly loads: LoadDefaults = createLoadDefaults();
  /** Every incarnation of every daemon, in start order. */
  readonly incarnations: WorldDaemon[] = [];
  readonly configuration: Configuration = readScenarioConfiguration();
  readonly mutation: WorldMutation;

  constructor(options: WorldOptions) {
    this.mutation = options.mutation;
    this.random = new SeededRandom(options.seed);
    this.network = new Network({
      timer: this.timer,
      random: new SeededRandom(options.seed + 1),
    });
    this.table = new InMemoryTable({
      timer: this.timer,
      random: new SeededRandom(options.seed + 2),
      timeoutMilliseconds: NEVER_MILLISECONDS,
    });
    this.vms = new VmRows(this.timer);
    this.actionQueue = new ActionQueue(this.timer);
    this.callers = new Callers({
      timer: this.timer,
      random: new SeededRandom(options.seed + 3),
      daemons: () => this.daemons,
      schedule: (milliseconds, action) =>
        this.actionQueue.schedule(milliseconds, action),
      accounts: this.configuration.accounts,
      dropsResubmission: options.mutation.dropsResubmission === true,
    });
    this.operators = new Operators({ timer: this.timer });
  }

  /** The newest incarnation of each daemon. */
  get daemons(): readonly WorldDaemon[] {
    const newest = new Map<string, WorldDaemon>();
    for (const daemon of this.incarnations) newest.set(daemon.daemonId, daemon);
    return [...newest.values()];
  }

  /** Builds a site, applies its configuration and waits for it to settle. */
  async build(plan: SitePlan): Promise<void> {
    for (const { id, kind } of this.configuration.services) {
      const count = kind === "engine" ? plan.engines : plan.plain;
      for (let number = 1; number <= count; number++) {
        this.#addEndpoint(id, number);
      }
    }
    for (let number = 1; number <= plan.daemons; number++) {
      this.vms.add(createDaemonVm(number));
    }
    this.vms.publish();
    for (let number = 1; number <= plan.daemons; number++) {
      this.startDaemon(`daemon-${number}`);
    }
    await this.operators.apply(this.daemon(1), this.configuration);
    await this.advance(WARM_UP_MILLISECONDS);
  }

  /** Starts a daemon, or a new incarnation of it. */
  startDaemon(daemonId: string): WorldDaemon {
    const daemon = new WorldDaemon({
      settings: createDaemonSettings(daemonId, this.vms.rows),
      timer: this.timer,
      random: new SeededRandom(this.random.nextInteger(2 ** 30)),
      mutation: this.mutation,
      createPorts: (process) => {
        const connection = {
          network: this.network,
          process,
          from: daemonId,
          timeoutMilliseconds: PLATFORM_TIMEOUT_MILLISECONDS,
        };
        const daemonConnection = { network: this.network, process, daemonId };
        return {
          table: new WorldTable({ ...connection, table: this.table }),
          vmList: new WorldVmList({ ...connection, vmList: this.vms.list }),
          weightStore: new GrantingWeightStore(),
          endpoints: new WorldEndpointClient({
            ...daemonConnection,
            find: (address) => this.#endpointAt(address),
          }),
          peers: new WorldPeerClient({
            ...daemonConnection,
            find: (peer) => this.#daemonAt(peer.address),
          }),
        };
      },
    });
    this.incarnations.push(daemon);
    return daemon;
  }

  /**
   * The newest incarnation of a daemon, by its number from 1. Throws an Error if
   * there is no such daemon.
   */
  daemon(number: number): WorldDaemon {
    const found = this.daemons.find(({ daemonId }) =>
      daemonId === `daemon-${number}`
    );
    if (found === undefined) throw new Error(`Daemon ${number} not found`);
    return found;
  }

  endpoint(endpointId: string): WorldEndpoint {
    const found = this.endpoints.find(({ id }) => id === endpointId);
    if (found === undefined) throw new Error(`No endpoint "${endpointId}"`);
    return found;
  }

  /** The endpoints of a service; throws an Error if there are none. */
  endpointsOf(service: string): readonly WorldEndpoint[] {
    const found = this.endpoints.filter(({ options }) =>
      options.address.service === service
    );
    if (found.length === 0) throw new Error(`No service "${service}"`);
    return found;
  }

  /** Advances time and runs the scheduled actions that become due. */
  advance(milliseconds: number): Promise<void> {
    return this.actionQueue.advance(milliseconds);
  }

  /** Stops every daemon process and frees its resources. */
  close(): void {
    for (const daemon of this.incarnations) daemon.close();
  }

  #addEndpoint(service: string, number: number): void {
    const vm = createEndpointVm(service, {
      number,
      place: this.endpoints.length + 1,
    });
    this.vms.add(vm);
    this.endpoints.push(
      createEndpoint(vm, {
        timer: this.timer,
        random: new SeededRandom(this.random.nextInteger(2 ** 30)),
        log: this.executions,
      }),
    );
  }

  #endpointAt(address: EndpointAddress): WorldEndpoint | undefined {
    return this.endpoints.find(({ options }) =>
      options.address.address === address.address
    );
  }

  #daemonAt(address: string): WorldDaemon | undefined {
    return this.daemons.find(({ daemonId, isAlive }) =>
      isAlive && this.vms.row(daemonId).address === address
    );
  }
}
