import type { LogFields } from "../log/gateway_log.ts";
import type { EndpointLoad } from "./endpoint_load.ts";

/** Log fields for what is known of an endpoint's load. */
export function describeEndpointLoad(
  load: EndpointLoad,
  now: number,
): LogFields {
  return {
    speed: Number(load.speed(now).toFixed(2)),
    queue: Number(load.expectedQueue(now).toFixed(1)),
    slots: load.slots,
  };
}
