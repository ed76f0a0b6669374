import type { AddressAnswer, DaemonAddress } from "kelpspar-shared";

/** Reads the directory's answer; returns undefined for any other value. */
export function readAddressAnswer(value: unknown): AddressAnswer | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const { daemons, keepMilliseconds } = value as Partial<AddressAnswer>;
  if (!Array.isArray(daemons) || typeof keepMilliseconds !== "number") {
    return undefined;
  }
  if (!daemons.every(isDaemonAddress)) return undefined;
  return { daemons, keepMilliseconds };
}

function isDaemonAddress(value: unknown): value is DaemonAddress {
  if (typeof value !== "object" || value === null) return false;
  const daemon = value as Partial<DaemonAddress>;
  return typeof daemon.address === "string" &&
    typeof daemon.port === "number" &&
    typeof daemon.availabilityZone === "string" &&
    typeof daemon.incarnation === "string" &&
    typeof daemon.keyEpoch === "number" &&
    typeof daemon.weight === "number" && daemon.weight >= 0;
}
