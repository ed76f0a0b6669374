// Starts the bundle with the code that the build compiled. Compiling it anew
// takes a third of a start, and a daemon that was killed is away meanwhile.
"use strict";

const { readFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");

const BUNDLE = join(__dirname, "daemon.cjs");

/** Absent while the build makes it; the bundle is compiled then. */
function readCompiledCode() {
  try {
    return readFileSync(`${BUNDLE}.code`);
  } catch (error) {
    if (error.code === "ENOENT") return undefined;
    throw error;
  }
}

// Code that another version of Node.js compiled is refused by it, and the
// bundle compiled again.
const script = new Script(readFileSync(BUNDLE, "utf8"), {
  filename: BUNDLE,
  cachedData: readCompiledCode(),
});
script.runInThisContext()(require, module, exports);

module.exports = { script, codeFile: `${BUNDLE}.code` };
