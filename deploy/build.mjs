// Bundles the daemon into one file, which starts faster than many, and keeps
// the code that Node.js compiles for it.
import { execFileSync } from "node:child_process";
import { copyFileSync, readFileSync, rmSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

const BUNDLE = "target/daemon.cjs";

/** Leaves out what the daemon never uses; see undici_agent.cjs. */
const lessOfUndici = {
  name: "less-of-undici",
  setup(bundle) {
    const agent = fileURLToPath(new URL("undici_agent.cjs", import.meta.url));
    const noHttp2 = fileURLToPath(new URL("no_http2.cjs", import.meta.url));
    bundle.onResolve({ filter: /^undici$/ }, () => ({ path: agent }));
    bundle.onResolve({ filter: /^node:http2$/ }, () => ({ path: noHttp2 }));
  },
};

/**
 * Options of Node.js that the daemon is run with. Code that was compiled under
 * others is refused at its start, and compiled again.
 */
function readNodeOptions() {
  const deployment = readFileSync("deploy/system.toml", "utf8");
  const command = /^run = "node (.*) target\/start_daemon\.cjs"$/m.exec(
    deployment,
  );
  if (command === null) throw new Error("No run of the daemon in system.toml");
  return command[1].split(" ");
}

await build({
  entryPoints: ["platform/src/main.ts"],
  outfile: BUNDLE,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  conditions: ["source"],
  plugins: [lessOfUndici],
  sourcemap: false,
  minifySyntax: true,
  minifyWhitespace: true,
  logLevel: "warning",
  // A function of what a file is given, which start_daemon.cjs calls.
  banner: { js: "(function(require,module,exports){" },
  footer: { js: "})" },
});
copyFileSync("deploy/start_daemon.cjs", "target/start_daemon.cjs");
rmSync(`${BUNDLE}.code`, { force: true });
try {
  execFileSync(
    process.execPath,
    [...readNodeOptions(), "deploy/keep_code.cjs"],
    { stdio: ["ignore", "ignore", "inherit"] },
  );
} catch (error) {
  // The daemon starts without it, only later.
  console.warn(`Compiled code was not kept: ${error.message}`);
}
