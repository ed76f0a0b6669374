import type { ListedVm } from "kelpspar-backends";
import type { EndpointAddress } from "kelpspar-shared";

/** An endpoint's address as calls need it. */
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
