import type { SpeedListener } from "./service_load.ts";
import { SlowReports } from "./slow_reports.ts";
import { ServiceLoad } from "./service_load.ts";

/** The loads of all services. */
export class ServiceLoads {
  readonly slowReports = new SlowReports();
  readonly #onSpeed: SpeedListener;
  readonly #services = new Map<string, ServiceLoad>();

  constructor(onSpeed: SpeedListener) {
    this.#onSpeed = onSpeed;
  }

  of(service: string): ServiceLoad {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const load = new ServiceLoad({
      slowReports: this.slowReports,
      onSpeed: this.#onSpeed,
    });
    this.#services.set(service, load);
    return load;
  }

  /** Services whose endpoints are chosen by their load. */
  get active(): readonly string[] {
    return [...this.#services].filter(([, { isActive }]) => isActive)
      .map(([service]) => service);
  }

  /** Reports received from endpoints of all services. */
  get reports(): number {
    return [...this.#services.values()]
      .reduce((sum, { reports }) => sum + reports, 0);
  }
}
