import type { ListedVm } from "kelpspar-backends";
import type { EndpointAddress } from "kelpspar-shared";

/** Converts a VM list entry to the address used for calls. */
export function toEndpointAddress(vm: ListedVm): EndpointAddress {
  return {
    endpointId: vm.id,
    incarnation: vm.incarnation,
    address: vm.address,
    port: vm.port,
    availabilityZone: vm.availabilityZone,
    service: vm.service,
    checksFencing: vm.checksFencing,
  };
}
