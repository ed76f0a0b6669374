// Runs the daemon briefly without a fleet and writes its compiled code to a
// cache file, so that `start_daemon.cjs` needn't compile it again.
"use strict";

const { mkdtempSync, rmSync, writeFileSync } = require("node:fs");
const { createServer } = require("node:net");
const { tmpdir } = require("node:os");
const { join } = require("node:path");

/** Long enough for the daemon to listen and call its store. */
const RUN_MILLISECONDS = 1_500;
/** Any free loopback port. */
const LISTEN = "127.0.0.1:0";
/** A port on which nothing listens. */
const NO_STORE = "127.0.0.1:1";

const server = createServer().listen(0, "127.0.0.1", () => {
  const { port } = server.address();
  server.close(() => run(port));
});

/** `metricsPort` must be a free port, since the settings require a number. */
function run(metricsPort) {
  const folder = mkdtempSync(join(tmpdir(), "kelpspar-"));
  const settings = join(folder, "settings.json");
  writeFileSync(settings, JSON.stringify(createSettings(metricsPort)));
  process.env.KELPSPAR_BOOT = settings;
  const { script, codeFile } = require("../target/start_daemon.cjs");
  setTimeout(() => {
    writeFileSync(codeFile, script.createCachedData());
    rmSync(folder, { recursive: true });
    process.exit(0);
  }, RUN_MILLISECONDS);
}

function createSettings(metricsPort) {
  return {
    nodeName: "build",
    ip: "127.0.0.1",
    zone: "build",
    listen: {
      front: LISTEN,
      ready: LISTEN,
      control: LISTEN,
      directory: LISTEN,
    },
    bounds: {
      graceS: 1,
      retryBudgetRatio: 0,
      budgetSlack: 0,
      budgetWindowS: 1,
    },
    provider: { address: NO_STORE },
    metricsPort,
  };
}
