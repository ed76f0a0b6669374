/** The address and service of an endpoint, from the VM list. */
export interface EndpointAddress {
  /** The VM's id, unchanged when a VM is replaced under the same address. */
  readonly endpointId: string;
  /** The VM's incarnation in the VM list. */
  readonly incarnation: string;
  readonly address: string;
  readonly port: number;
  readonly availabilityZone: string;
  /** The id of the service in the configuration. */
  readonly service: string;
  /** True if the endpoint refuses orders with a stale fencing number. */
  readonly checksFencing: boolean;
}
