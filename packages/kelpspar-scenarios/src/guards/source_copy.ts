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

const WORKSPACE_FOLDERS = ["packages", "platform"];
const OWN_PACKAGE_NAME = /^(kelpspar|@kelpspar)/;
const ROOT_FILES = ["package.json", "tsconfig.base.json", "tsconfig.json"];

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
    for (const name of WORKSPACE_FOLDERS) {
      cpSync(join(root, name), join(this.folder, name), {
        recursive: true,
        filter: isSource,
      });
    }
    for (const name of ROOT_FILES) {
      cpSync(join(root, name), join(this.folder, name));
    }
    this.#linkLibraries(root);
  }

  /** Runs `act` while `code`, which must stand once in a file, is replaced. */
  runWithout<Result>(
    replacement: Replacement,
    action: () => Result,
  ): Result {
    const { file, code, without } = replacement;
    const path = join(this.folder, file);
    const source = readFileSync(path, "utf8");
    if (source.split(code).length !== 2) {
      throw new Error(`"${code}" doesn't stand once in "${file}"`);
    }
    writeFileSync(path, source.replace(code, () => without));
    try {
      return action();
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
      const target = OWN_PACKAGE_NAME.test(name)
        ? join(this.folder, "packages", name)
        : join(root, "node_modules", name);
      symlinkSync(target, join(libraries, name));
    }
  }
}
