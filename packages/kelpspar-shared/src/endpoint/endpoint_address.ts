/** Where an endpoint is and what it serves, as the VM list says. */
export interface EndpointAddress {
  /** The VM's id, kept when a VM is replaced under the same address. */
  readonly endpointId: string;
  /** The VM's incarnation in the VM list. */
  readonly incarnation: string;
  readonly address: string;
  readonly port: number;
  readonly availabilityZone: string;
  /** The id of the service in the configuration. */
  readonly service: string;
  /** True when the endpoint refuses orders with an old fencing number. */
  readonly checksFencing: boolean;
}
