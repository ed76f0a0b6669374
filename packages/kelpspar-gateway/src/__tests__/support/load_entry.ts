import type { EndpointEntry } from "../../endpoints/endpoint_entry.ts";

/** An endpoint of a service named `service`. */
export function loadEntry(id: string, bornAt = 5): EndpointEntry {
  return {
    id,
    bornAt,
    service: "service",
    address: "10.0.0.1:80",
    zone: "a",
    slots: 4,
    isDraining: false,
  };
}
