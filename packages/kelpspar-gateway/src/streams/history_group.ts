/** Names the group of a service's software versions. */
export function groupOfService(service: string): string {
  return `service/${service}`;
}

/** Names the group of the services that a route sends requests to. */
export function groupOfRoute(route: string): string {
  return `route/${route}`;
}
