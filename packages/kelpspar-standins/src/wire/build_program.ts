import { execFileSync } from "node:child_process";
import {
  cpSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  symlinkSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { basename, join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../../../../", import.meta.url));
const PARTITION_HOOK = "packages/kelpspar-standins/src/wire/partition_hook.ts";
/** Inputs of the build. */
const SOURCES = ["deploy", "packages", "platform", "tsconfig.base.json"];
const RUN = /^run = "node (.*) (target\/\S+)"$/m;

/** The daemon's program as the platform builds and runs it. */
export interface BuiltProgram {
  /** Folder that the program runs in. */
  readonly folder: string;
  /** Path below the folder. */
  readonly program: string;
  /** Options of Node.js. */
  readonly nodeArguments: readonly string[];
  /** Path of the compiled `partition_hook.ts`. */
  readonly partitionHook: string;
  readonly remove: () => void;
}

/** Builds the program in a folder of its own: other tests build it as well. */
export function buildProgram(): BuiltProgram {
  const folder = mkdtempSync(join(tmpdir(), "kelpspar-build-"));
  for (const name of SOURCES) {
    cpSync(join(ROOT, name), join(folder, name), {
      recursive: true,
      filter: (path) => !path.endsWith("/dist"),
    });
  }
  symlinkSync(join(ROOT, "node_modules"), join(folder, "node_modules"));
  execFileSync(process.execPath, ["deploy/build.mjs"], { cwd: folder });
  return {
    folder,
    ...readRunCommand(folder),
    partitionHook: buildPartitionHook(folder),
    remove: () => rmSync(folder, { recursive: true }),
  };
}

/** Reads how the deployment runs the program below a folder. */
export function readRunCommand(
  folder: string,
): Pick<BuiltProgram, "program" | "nodeArguments"> {
  const deployment = readFileSync(join(folder, "deploy/system.toml"), "utf8");
  const [, options = "", program = ""] = RUN.exec(deployment) ?? [];
  return { program, nodeArguments: options.split(" ") };
}

/** Compiles the hook into a folder, since daemons run without the sources. */
export function buildPartitionHook(folder: string): string {
  return buildScript(PARTITION_HOOK, folder);
}

/** Compiles a source file into a folder, as a module that needs no loader. */
export function buildScript(source: string, folder: string): string {
  const outfile = join(folder, `${basename(source, ".ts")}.mjs`);
  execFileSync(join(ROOT, "node_modules/.bin/esbuild"), [
    join(ROOT, source),
    "--bundle",
    "--platform=node",
    "--format=esm",
    "--log-level=error",
    `--outfile=${outfile}`,
  ]);
  return outfile;
}
