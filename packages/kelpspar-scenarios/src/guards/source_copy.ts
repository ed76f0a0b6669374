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

  read(file: string): string {
    return readFileSync(join(this.folder, file), "utf8");
  }

  write(file: string, text: string): void {
    writeFileSync(join(this.folder, file), text);
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
