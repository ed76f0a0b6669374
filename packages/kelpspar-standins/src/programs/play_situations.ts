import { appendFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { exitOnSignals } from "../process/owned_processes.ts";
import { readCount } from "./read_count.ts";
import { printText } from "./read_settings.ts";

const EXIT_USAGE = 64;
const PROGRAM = fileURLToPath(
  new URL("../../../../target/start_daemon.cjs", import.meta.url),
);

/** One run of a situation. */
export interface SituationRun<Name extends string> {
  readonly name: Name;
  readonly seed: number;
  /** Number of daemons; undefined for that of the situation. */
  readonly daemons: number | undefined;
  /** Name of the site; undefined for that of the situation. */
  readonly site: string | undefined;
  /** The daemon's program. */
  readonly program: {
    readonly path: string;
    readonly nodeArguments: readonly string[];
  };
  /** Receives the daemons' log lines. */
  readonly onLine?: (line: string) => void;
}

/** Options of `playSituations`. */
export interface PlaySituationsOptions<Name extends string> {
  /** The npm script, for the usage text. */
  readonly script: string;
  readonly names: readonly Name[];
  /** Names of sites that a situation can be played at; default none. */
  readonly sites?: readonly string[];
  readonly play: (run: SituationRun<Name>) => Promise<void>;
}

/**
 * Plays the situations and seeds that the command line asks for, then exits with
 * `process.exitCode`.
 */
export async function playSituations<Name extends string>(
  { script, names, sites = [], play }: PlaySituationsOptions<Name>,
): Promise<void> {
  const siteUsage = sites.length === 0 ? "" : " [--site NAME]";
  const usage =
    `npm run ${script} -- [--situations NAME,...|all] [--seed N] [--seeds COUNT] [--daemons N]${siteUsage} [--program FILE] [--log FILE]`;
  try {
    const { values } = parseArgs({
      options: {
        situations: { type: "string", default: "all" },
        seed: { type: "string", default: "1" },
        seeds: { type: "string", default: "1" },
        daemons: { type: "string" },
        ...(sites.length === 0 ? {} : { site: { type: "string" } }),
        program: { type: "string", default: PROGRAM },
        log: { type: "string" },
        help: { type: "boolean", default: false },
      },
    });
    if (values.help) {
      printText(usage);
      return;
    }
    exitOnSignals();
    const { log } = values;
    const chosen = readNames(values.situations, names);
    const first = readCount("seed", values.seed);
    const count = readCount("seeds", values.seeds);
    const daemons = values.daemons === undefined
      ? undefined
      : readCount("daemons", values.daemons);
    const site = readSite(values, sites);
    for (let seed = first; seed < first + count; seed++) {
      for (const name of chosen) {
        await play({
          name,
          seed,
          daemons,
          site,
          program: { path: values.program, nodeArguments: [] },
          ...(log === undefined
            ? {}
            : { onLine: (line) => appendFileSync(log, `${line}\n`) }),
        });
      }
    }
    process.exit();
  } catch (error) {
    if (!(error instanceof TypeError)) throw error;
    printText(`${error.message}. Usage: ${usage}`);
    process.exitCode = EXIT_USAGE;
  }
}

function readNames<Name extends string>(
  text: string,
  names: readonly Name[],
): readonly Name[] {
  if (text === "all") return names;
  return text.split(",").map((name) => {
    const known = names.find((found) => found === name);
    if (known !== undefined) return known;
    throw new TypeError(
      `--situations takes names out of ${
        names.join(", ")
      } or "all", not "${name}"`,
    );
  });
}

function readSite(
  { site }: { readonly site?: unknown },
  sites: readonly string[],
): string | undefined {
  if (site === undefined) return undefined;
  const known = sites.find((found) => found === site);
  if (known !== undefined) return known;
  throw new TypeError(
    `--site takes one of ${sites.join(", ")}, not "${String(site)}"`,
  );
}
