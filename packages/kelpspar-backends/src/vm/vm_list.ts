/** A VM of the platform's VM list. */
export interface ListedVm {
  readonly id: string;
  /** Changes when the VM is replaced, even under the same address. */
  readonly incarnation: string;
  readonly address: string;
  readonly port: number;
  readonly availabilityZone: string;
  readonly kind: "daemon" | "endpoint";
  /** The service in the configuration; empty for daemons. */
  readonly service: string;
  readonly state: "live" | "leaving";
  /** True if the endpoint refuses orders with a stale fencing number. */
  readonly checksFencing: boolean;
}

/** The response body of `GET /v1/vms`. */
export interface VmListAnswer {
  /** Increases with every change of the list. */
  readonly sequence: number;
  readonly vms: readonly ListedVm[];
}

/**
 * The platform's list of VMs, which may lag behind. Throws `platform_refused`
 * and, like the table service, `table_unavailable`.
 */
export interface VmList {
  list(): Promise<VmListAnswer>;
}
