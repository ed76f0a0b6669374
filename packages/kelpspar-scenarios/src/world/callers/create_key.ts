import type { WorldDaemon } from "../daemon/world_daemon.ts";
import type { LoadKind } from "./load_kind.ts";
import { formatEpochKey } from "kelpspar-decisions/claims";

/** Creates the idempotency key of a request; undefined for kinds without. */
export function createKey(
  kind: LoadKind,
  options: { readonly token: string; readonly daemon: WorldDaemon },
): string | undefined {
  const { token, daemon } = options;
  if (kind.key === "none") return undefined;
  if (kind.key === "free") return `key-${token}`;
  const { incarnation, ledger } = daemon.core;
  const epoch = ledger.advanceEpoch(daemon.process.timer.now());
  return formatEpochKey({ incarnation, epoch, rest: `key-${token}` });
}
