import { expect } from "earl";
import { execFileSync } from "node:child_process";
import { test } from "node:test";
import { buildProgram } from "../../wire/build_program.ts";

test("Node.js accepts the code cache that the build created for the daemon", () => {
  // A restart takes a third longer if Node.js rejects the code cache, which it
  // does without an error when the build created the cache under other Node.js
  // options than those that the daemon runs with.
  const { folder, program, nodeArguments, remove } = buildProgram();
  try {
    const inspect = `const { script } = require("./${program}");
      process.stdout.write("\\n" + script.cachedDataRejected + "\\n");
      process.exit(0);`;
    const printed = execFileSync(
      process.execPath,
      [...nodeArguments, "-e", inspect],
      { cwd: folder, encoding: "utf8" },
    );
    // The daemon's log says, before or after that line, that it has no settings.
    const lines = printed.split("\n").filter((line) =>
      line !== "" && !line.startsWith("{")
    );
    expect(lines).toEqual(["false"]);
  } finally {
    remove();
  }
});
