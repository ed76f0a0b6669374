import type { ServiceRepeats } from "../repeats/judge_services.ts";
import { printText } from "./read_settings.ts";

/** Prints the repeats of each service; returns whether any exceeds its limit. */
export function printServices(services: readonly ServiceRepeats[]): boolean {
  for (const { service, basis, worst } of services) {
    printText(
      `  ${service}, by ${basis}: ${worst.repeats} repeats of ` +
        `${Math.floor(worst.allowed)} allowed in the worst window` +
        `${worst.isExceeded ? " (EXCEEDED)" : ""}`,
    );
  }
  return services.some(({ worst }) => worst.isExceeded);
}
