/** One VM of the platform's lagging list. */
export interface ListedVm {
  readonly id: string;
  /** Changes when the VM is replaced, also under the same address. */
  readonly incarnation: string;
  readonly address: string;
  readonly port: number;
  readonly availabilityZone: string;
  readonly kind: "daemon" | "endpoint";
  /** The service in the configuration; empty for daemons. */
  readonly service: string;
  readonly state: "live" | "leaving";
  /** True when the endpoint refuses orders with an old fencing number. */
  readonly checksFencing: boolean;
}

/** The answer of `GET /v1/vms`. */
export interface VmListAnswer {
  /** Grows with every change of the list. */
  readonly sequence: number;
  readonly vms: readonly ListedVm[];
}

/** The platform's lagging list of VMs. Throws `platform_refused` and
 * `table_unavailable` like the table service. */
export interface VmList {
  list(): Promise<VmListAnswer>;
}
