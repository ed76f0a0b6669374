import type { RunnerStandIn } from "../wire/runner_stand_in.ts";
import type { WireSite } from "../wire/wire_site.ts";

/** A change of the software versions of a service. */
export type VersionChange =
  | "none"
  /** Endpoints of the old version report that they leave, and go on. */
  | "drain_old"
  /** Their entries are removed; they go on. */
  | "unlist_old"
  /** Their entries are removed and their connections closed. */
  | "end_old"
  /** They drain, and endpoints of the new version start. */
  | "replace_old"
  /** Endpoints of the new version start. */
  | "add_new"
  /** One of them is removed, and one of a third version starts. */
  | "replace_one_by_patch";

const OLD_VERSION = "v1";
const NEW_VERSION = "v1.2";
const PATCH_VERSION = "v1.1";

/** Changes by name. */
export const VERSION_CHANGES: Readonly<
  Record<VersionChange, (site: WireSite) => Promise<void> | void>
> = {
  none: () => {},
  drain_old: (site) => drainOld(site),
  unlist_old: (site) => oldOf(site).forEach(({ id }) => site.removeEntry(id)),
  end_old: (site) => oldOf(site).forEach((runner) => end(site, runner)),
  replace_old: async (site) => {
    drainOld(site);
    await addNew(site);
  },
  add_new: (site) => addNew(site),
  replace_one_by_patch: async (site) => {
    oldOf(site).slice(0, 1).forEach((runner) => end(site, runner));
    await site.addModel(PATCH_VERSION);
  },
};

function oldOf(site: WireSite): readonly RunnerStandIn[] {
  return site.models.filter(({ version }) => version === OLD_VERSION);
}

function drainOld(site: WireSite): void {
  for (const { id } of oldOf(site)) site.drain(id);
}

function end(site: WireSite, runner: RunnerStandIn): void {
  site.removeEntry(runner.id);
  runner.crash();
}

async function addNew(site: WireSite): Promise<void> {
  await site.addModel(NEW_VERSION);
  await site.addModel(NEW_VERSION);
}
