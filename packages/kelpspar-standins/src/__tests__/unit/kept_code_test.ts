import { expect } from "earl";
import { execFileSync } from "node:child_process";
import {
  cpSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  symlinkSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../../../../../", import.meta.url));
/** What the build reads. */
const SOURCES = ["deploy", "packages", "platform", "tsconfig.base.json"];
const RUN = /^run = "node (.*) (target\/\S+)"$/m;

test("the daemon starts with the code that its build compiled", () => {
  // Symptom: a daemon that was killed is away a third longer.
  // Sequence: the build compiles under other options of Node.js than the
  // daemon is run with; Node.js refuses the code and compiles again.
  // Cause: nobody looks whether it was taken; the daemon runs all the same.
  const folder = mkdtempSync(join(tmpdir(), "kelpspar-build-"));
  try {
    // In a folder of its own: another test builds in the work tree.
    for (const name of SOURCES) {
      cpSync(join(ROOT, name), join(folder, name), {
        recursive: true,
        filter: (path) => !path.endsWith("/dist"),
      });
    }
    symlinkSync(join(ROOT, "node_modules"), join(folder, "node_modules"));
    execFileSync(process.execPath, ["deploy/build.mjs"], { cwd: folder });
    const deployment = readFileSync(join(folder, "deploy/system.toml"), "utf8");
    const [, options = "", program = ""] = RUN.exec(deployment) ?? [];
    const look = `const { script } = require("./${program}");
      process.stdout.write(String(script.cachedDataRejected));
      process.exit(0);`;
    const printed = execFileSync(
      process.execPath,
      [...options.split(" "), "-e", look],
      { cwd: folder, encoding: "utf8" },
    );
    expect(printed).toEqual("false");
  } finally {
    rmSync(folder, { recursive: true });
  }
});
