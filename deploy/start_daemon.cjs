// Starts the bundle with the code that the build compiled. Compiling it again
// takes a third of the startup time, during which a killed daemon is missing.
"use strict";

const { readFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");

const BUNDLE = join(__dirname, "daemon.cjs");

/** Returns undefined while the build creates the file; then the bundle is compiled. */
function readCompiledCode() {
  try {
    return readFileSync(`${BUNDLE}.code`);
  } catch (error) {
    if (error.code === "ENOENT") return undefined;
    throw error;
  }
}

// Node.js rejects code that another version compiled, and compiles the bundle
// again.
const script = new Script(readFileSync(BUNDLE, "utf8"), {
  filename: BUNDLE,
  cachedData: readCompiledCode(),
});
script.runInThisContext()(require, module, exports);

module.exports = { script, codeFile: `${BUNDLE}.code` };
