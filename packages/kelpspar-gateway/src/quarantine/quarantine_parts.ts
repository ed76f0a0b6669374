import type { CrashWatchOptions } from "./crash_watch.ts";
import type { QuarantineSyncOptions } from "./quarantine_sync.ts";
import { CrashWatch } from "./crash_watch.ts";
import { Quarantine } from "./quarantine.ts";
import { QuarantineSync } from "./quarantine_sync.ts";

/** What a daemon's quarantine is made with. */
export type QuarantinePartsOptions =
  & Omit<CrashWatchOptions, "quarantine">
  & Omit<QuarantineSyncOptions, "quarantine">;

/** A daemon's quarantine: what is known, who finds it out, who shares it. */
export interface QuarantineParts {
  readonly quarantine: Quarantine;
  readonly watch: CrashWatch;
  readonly sync: QuarantineSync;
  /** Begins to forget and to tell others; returns the teardown. */
  register(): () => void;
}

/** Makes the parts; nothing happens until `register`. */
export function createQuarantineParts(
  options: QuarantinePartsOptions,
): QuarantineParts {
  const quarantine = new Quarantine(options);
  const sync = new QuarantineSync({ ...options, quarantine });
  return {
    quarantine,
    sync,
    watch: new CrashWatch({ ...options, quarantine }),
    register: (): () => void => {
      const teardowns = [quarantine.register(), sync.register()];
      return () => teardowns.forEach((teardown) => teardown());
    },
  };
}
