import type { BuiltProgram } from "../wire/build_program.ts";
import type { CrowdResult } from "./crowd_result.ts";
import type { CrowdSituation } from "./crowd_situation.ts";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createDaemons } from "../wire/create_daemons.ts";
import { WireSite } from "../wire/wire_site.ts";
import { CROWD_DEADLINE_MILLISECONDS } from "./crowd_caller.ts";
import { CROWD_BODY_BYTES } from "./crowd_kinds.ts";
import { CROWD_GRACE_SECONDS, CrowdPlay } from "./crowd_play.ts";
import { buildProcessReader } from "./process_watch.ts";

const RUNNERS = 4;

/** Options of `runCrowds`. */
export interface RunCrowdsOptions {
  readonly situation: CrowdSituation;
  /** The daemon's program. */
  readonly program: Pick<BuiltProgram, "nodeArguments"> & {
    readonly path: string;
  };
  /** Receives the daemons' log lines. */
  readonly onLine?: ((line: string) => void) | undefined;
}

/** Lets crowds call a fleet, and ordinary clients beside and after them. */
export async function runCrowds(
  options: RunCrowdsOptions,
): Promise<CrowdResult> {
  const { situation, program } = options;
  const { memoryMegabytes, maximumDescriptors } = situation;
  const site = new WireSite({
    plainRunners: RUNNERS,
    modelRunners: RUNNERS,
    hasEngines: false,
    graceSeconds: CROWD_GRACE_SECONDS,
    timeoutMilliseconds: CROWD_DEADLINE_MILLISECONDS,
    bodyBytes: CROWD_BODY_BYTES,
    processLimits: { memoryMegabytes, descriptors: maximumDescriptors },
  });
  const folder = mkdtempSync(join(tmpdir(), "kelpspar-crowds-"));
  await site.start();
  const daemons = await createDaemons(site, {
    count: situation.daemons,
    folder,
    program: program.path,
    nodeArguments: program.nodeArguments,
    onLine: options.onLine,
  });
  const reader = buildProcessReader(folder);
  const play = new CrowdPlay(situation, { site, daemons, reader });
  try {
    return await play.run();
  } finally {
    await play.end();
    await Promise.all(daemons.map((daemon) => daemon.end()));
    site.stop();
    rmSync(folder, { recursive: true, force: true });
  }
}
