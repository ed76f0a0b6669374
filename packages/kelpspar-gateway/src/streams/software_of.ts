import type { EndpointEntry } from "../endpoints/endpoint_entry.ts";
import type { StreamOrigin } from "./stream_origin.ts";

/** The software that an endpoint runs. */
export function softwareOf(
  { service, version }: Pick<EndpointEntry, "service" | "version">,
): StreamOrigin {
  return { service, version: version ?? "" };
}

/** Names the software that an endpoint runs: its service and version. */
export function describeSoftware(
  { service, version = "" }: Pick<EndpointEntry, "service" | "version">,
): string {
  return `${service} ${version}`;
}
