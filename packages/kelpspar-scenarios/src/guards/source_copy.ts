import {
  cpSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const WORKSPACES = ["packages", "platform"];
const OWN_NAME = /^(kelpspar|@kelpspar)/;
const FILES = ["package.json", "tsconfig.base.json", "tsconfig.json"];

/** Code and what stands in its place for a while. */
export interface Replacement {
  /** Source file, from the root of the repository. */
  readonly file: string;
  /** What stands there once. */
  readonly code: string;
  readonly without: string;
}

/**
 * A copy of the sources in a temporary folder, so that guards are taken away
 * there and never in the work tree. Libraries are those of the repository.
 */
export class SourceCopy {
  readonly folder = mkdtempSync(join(tmpdir(), "kelpspar-guards-"));

  constructor(root: string) {
    const isSource = (path: string): boolean =>
      !path.includes("node_modules") && !path.endsWith("/dist");
    for (const name of WORKSPACES) {
      cpSync(join(root, name), join(this.folder, name), {
        recursive: true,
        filter: isSource,
      });
    }
    for (const name of FILES) {
      cpSync(join(root, name), join(this.folder, name));
    }
    this.#linkLibraries(root);
  }

  /** Runs `act` while `code`, which must stand once in a file, is replaced. */
  runWithout<Result>(
    replacement: Replacement,
    act: () => Result,
  ): Result {
    const { file, code, without } = replacement;
    const path = join(this.folder, file);
    const source = readFileSync(path, "utf8");
    if (source.split(code).length !== 2) {
      throw new Error(`"${code}" doesn't stand once in "${file}"`);
    }
    writeFileSync(path, source.replace(code, () => without));
    try {
      return act();
    } finally {
      writeFileSync(path, source);
    }
  }

  remove(): void {
    rmSync(this.folder, { recursive: true });
  }

  /** Our own packages must be those of the copy. */
  #linkLibraries(root: string): void {
    const libraries = join(this.folder, "node_modules");
    mkdirSync(libraries);
    for (const name of readdirSync(join(root, "node_modules"))) {
      const target = OWN_NAME.test(name)
        ? join(this.folder, "packages", name)
        : join(root, "node_modules", name);
      symlinkSync(target, join(libraries, name));
    }
  }
}
