// Runs the daemon for a moment, away from any fleet, and keeps the code that
// was compiled for it, so that `start_daemon.cjs` needn't compile it again.
"use strict";

const { mkdtempSync, rmSync, writeFileSync } = require("node:fs");
const { createServer } = require("node:net");
const { tmpdir } = require("node:os");
const { join } = require("node:path");

/** Long enough for the daemon to listen and ask its store, milliseconds. */
const RUN_MILLISECONDS = 1_500;
/** Any free port of loopback. */
const LISTEN = "127.0.0.1:0";
/** Nothing listens there. */
const NO_STORE = "127.0.0.1:1";

const server = createServer().listen(0, "127.0.0.1", () => {
  const { port } = server.address();
  server.close(() => run(port));
});

/** `metricsPort` is a free port: a daemon's settings must name one. */
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
