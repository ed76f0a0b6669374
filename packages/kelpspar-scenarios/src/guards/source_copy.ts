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

/** A temporary replacement of code. */
export interface Replacement {
  /** Source file, relative to the repository root. */
  readonly file: string;
  /** Code that occurs exactly once in the file. */
  readonly code: string;
  readonly without: string;
}

/**
 * A copy of the sources in a temporary folder, so that guards are never disabled
 * in the work tree. Libraries are linked from the repository.
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

  /**
   * Runs `action` while `code` is replaced. Throws an Error if `code` doesn't
   * occur exactly once in the file.
   */
  runWithout<Result>(
    replacement: Replacement,
    action: () => Result,
  ): Result {
    const { file, code, without } = replacement;
    const path = join(this.folder, file);
    const source = readFileSync(path, "utf8");
    if (source.split(code).length !== 2) {
      throw new Error(`"${code}" does not occur exactly once in "${file}"`);
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

  /** Links the repository's own packages to the copy, not to the work tree. */
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
