import type { Configuration } from "kelpspar-configuration";
import type { Settings } from "kelpspar-daemon";
import type { ListedVm } from "kelpspar-platform";
import type { EndpointAddress } from "kelpspar-shared";
import type { LoadDefaults } from "./callers/load_defaults.ts";
import type { WorldMutation } from "./world_mutation.ts";
import { settingsSchema } from "kelpspar-daemon";
import { InMemoryTable, LaggingVmList } from "kelpspar-standins";
import { SeededRandom } from "kelpspar-shared";
import { Agenda } from "./agenda.ts";
import { createLoadDefaults } from "./callers/load_defaults.ts";
import { Callers } from "./callers/callers.ts";
import { WorldDaemon } from "./daemon/world_daemon.ts";
import { WorldPeerClient } from "./daemon/world_peer_client.ts";
import { ExecutionLog } from "./endpoint/execution_log.ts";
import { WorldEndpoint } from "./endpoint/world_endpoint.ts";
import { WorldEndpointClient } from "./endpoint/world_endpoint_client.ts";
import { Network } from "./network/network.ts";
import { Operators } from "./operators/operators.ts";
import { GrantingWeightStore } from "./platform/granting_weight_store.ts";
import { WorldTable } from "./platform/world_table.ts";
import { WorldVmList } from "./platform/world_vm_list.ts";
import { WorldTimer } from "./world_timer.ts";
import { readScenarioConfiguration } from "./scenario_configuration.ts";

/** How a world begins. */
export interface WorldOptions {
  readonly seed: number;
  readonly mutation: WorldMutation;
}

/** A site to build. */
export interface SitePlan {
  readonly daemons: number;
  readonly engines: number;
  /** Endpoints of each plain service. */
  readonly plain: number;
}

const ZONES: readonly string[] = ["zone-a", "zone-b", "zone-c"];
const NEVER_MILLISECONDS = 1_000_000_000;
const DEFAULT_LAG_MILLISECONDS = 1_000;
const WARM_UP_MILLISECONDS = 3_000;
const PLATFORM_ORIGIN = "http://10.0.0.1:80";
const DAEMON_PORT = 7_000;
const ENDPOINT_PORT = 8_000;
const SERVICE_MILLISECONDS: Readonly<Record<string, number>> = {
  engine: 120,
  booking: 40,
};
const DEFAULT_SERVICE_MILLISECONDS = 15;

/**
 * Several real daemon cores in one process, over small fakes of all that
 * surrounds them, under manual time and seeded chance.
 */
export class World {
  readonly timer = new WorldTimer({ startAt: 1_000 });
  readonly random: SeededRandom;
  readonly network: Network;
  readonly table: InMemoryTable;
  readonly vmList: LaggingVmList;
  readonly executions = new ExecutionLog();
  readonly endpoints: WorldEndpoint[] = [];
  readonly callers: Callers;
  readonly operators: Operators;
  readonly agenda: Agenda;
  readonly loads: LoadDefaults = createLoadDefaults();
  /** Every incarnation of every daemon, in the order they started. */
  readonly incarnations: WorldDaemon[] = [];
  readonly configuration: Configuration = readScenarioConfiguration();
  readonly mutation: WorldMutation;
  #vms: ListedVm[] = [];
  #vmListLag = DEFAULT_LAG_MILLISECONDS;
  #replacements = 0;

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
    this.vmList = new LaggingVmList({
      timer: this.timer,
      lagMilliseconds: DEFAULT_LAG_MILLISECONDS,
    });
    this.agenda = new Agenda(this.timer);
    this.callers = new Callers({
      timer: this.timer,
      daemons: () => this.daemons,
      schedule: (milliseconds, action) =>
        this.agenda.schedule(milliseconds, action),
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

  /** Builds a site, puts its configuration in force and lets it settle. */
  async build(plan: SitePlan): Promise<void> {
    for (const { id, kind } of this.configuration.services) {
      const count = kind === "engine" ? plan.engines : plan.plain;
      for (let number = 1; number <= count; number++) {
        this.#addEndpoint(id, number);
      }
    }
    for (let number = 1; number <= plan.daemons; number++) {
      this.#vms.push(createDaemonVm(number));
    }
    this.vmList.setLag(0);
    this.vmList.replace(this.#vms);
    this.vmList.setLag(DEFAULT_LAG_MILLISECONDS);
    for (let number = 1; number <= plan.daemons; number++) {
      this.startDaemon(`daemon-${number}`);
    }
    await this.operators.apply(this.daemon(1), this.configuration);
    await this.pass(WARM_UP_MILLISECONDS);
  }

  /** Starts a daemon, or a new incarnation of it. */
  startDaemon(daemonId: string): WorldDaemon {
    const daemon = new WorldDaemon({
      settings: this.#settingsOf(daemonId),
      timer: this.timer,
      random: new SeededRandom(this.random.nextInteger(2 ** 30)),
      mutation: this.mutation,
      createPorts: (process) => {
        const way = {
          network: this.network,
          process,
          from: daemonId,
          timeoutMilliseconds: 500,
        };
        const daemonWay = { network: this.network, process, daemonId };
        return {
          table: new WorldTable({ ...way, table: this.table }),
          vmList: new WorldVmList({ ...way, vmList: this.vmList }),
          weightStore: new GrantingWeightStore(),
          endpoints: new WorldEndpointClient({
            ...daemonWay,
            find: (address) => this.#endpointAt(address),
          }),
          peers: new WorldPeerClient({
            ...daemonWay,
            find: (peer) => this.#daemonAt(peer.address),
          }),
        };
      },
    });
    this.incarnations.push(daemon);
    return daemon;
  }

  /** The newest incarnation of a daemon, by its number from 1. */
  daemon(number: number): WorldDaemon {
    const found = this.daemons.find(({ daemonId }) =>
      daemonId === `daemon-${number}`
    );
    if (found === undefined) throw new Error(`There is no daemon ${number}`);
    return found;
  }

  endpoint(endpointId: string): WorldEndpoint {
    const found = this.endpoints.find(({ id }) => id === endpointId);
    if (found === undefined) throw new Error(`There is no "${endpointId}"`);
    return found;
  }

  /** The endpoints of a service; throws when there are none. */
  endpointsOf(service: string): readonly WorldEndpoint[] {
    const found = this.endpoints.filter(({ options }) =>
      options.address.service === service
    );
    if (found.length === 0) throw new Error(`There is no service "${service}"`);
    return found;
  }

  /** How far the VM list lags, milliseconds. */
  get vmListLag(): number {
    return this.#vmListLag;
  }

  setVmListLag(milliseconds: number): void {
    this.#vmListLag = milliseconds;
    this.vmList.setLag(milliseconds);
  }

  /** A new VM takes the place and the address of one. */
  replaceVm(id: string): void {
    const incarnation = `${id}-vm-${++this.#replacements + 1}`;
    this.changeVm(id, { incarnation, state: "live" });
  }

  /** Changes a VM's row; it shows after the list's lag. */
  changeVm(id: string, change: Partial<ListedVm>): void {
    this.#vms = this.#vms.map((vm) => vm.id === id ? { ...vm, ...change } : vm);
    this.vmList.replace(this.#vms);
  }

  /** The VM's row as it is, not as the lagging list shows it. */
  vm(id: string): ListedVm {
    const found = this.#vms.find((vm) => vm.id === id);
    if (found === undefined) throw new Error(`There is no VM "${id}"`);
    return found;
  }

  /** Lets time pass, and carries out what is on the agenda. */
  pass(milliseconds: number): Promise<void> {
    return this.agenda.pass(milliseconds);
  }

  /** Ends every daemon. */
  close(): void {
    for (const daemon of this.incarnations) daemon.close();
  }

  #addEndpoint(service: string, number: number): void {
    const kind = service === "engine" ? "engine" : "plain";
    const vm: ListedVm = {
      id: `${service}-${number}`,
      incarnation: `${service}-${number}-vm-1`,
      address: `10.2.0.${this.endpoints.length + 1}`,
      port: ENDPOINT_PORT,
      availabilityZone: zoneOf(number),
      kind: "endpoint",
      service,
      state: "live",
      checksFencing: true,
    };
    this.#vms.push(vm);
    this.endpoints.push(
      new WorldEndpoint({
        address: { ...vm, endpointId: vm.id },
        kind,
        models: kind === "engine" ? { writer: "1" } : {},
        concurrency: 8,
        serviceMilliseconds: SERVICE_MILLISECONDS[service] ??
          DEFAULT_SERVICE_MILLISECONDS,
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
      isAlive && this.vm(daemonId).address === address
    );
  }

  #settingsOf(daemonId: string): Settings {
    const vm = this.vm(daemonId);
    return settingsSchema.parse({
      daemonId,
      address: vm.address,
      port: vm.port,
      availabilityZone: vm.availabilityZone,
      platform: {
        tableOrigin: PLATFORM_ORIGIN,
        objectOrigin: PLATFORM_ORIGIN,
        weightOrigin: PLATFORM_ORIGIN,
        vmListOrigin: PLATFORM_ORIGIN,
      },
      seeds: this.#vms.filter((other) =>
        other.kind === "daemon" && other.id !== daemonId
      ).map((other) => `${other.address}:${other.port}`),
      peerSecret: "the daemons of the scenarios",
    });
  }
}

function zoneOf(number: number): string {
  return ZONES[(number - 1) % ZONES.length] ?? "";
}

function createDaemonVm(number: number): ListedVm {
  return {
    id: `daemon-${number}`,
    incarnation: `daemon-${number}-vm-1`,
    address: `10.1.0.${number}`,
    port: DAEMON_PORT,
    availabilityZone: zoneOf(number),
    kind: "daemon",
    service: "",
    state: "live",
    checksFencing: false,
  };
}
