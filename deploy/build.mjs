// Bundles the daemon into one file, which starts faster than separate modules,
// and caches the code that Node.js compiles for it.
import { execFileSync } from "node:child_process";
import { copyFileSync, readFileSync, rmSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

const BUNDLE = "target/daemon.cjs";

/** Replacements of modules that the daemon uses in part or never. */
const REPLACEMENTS = [
  [/^undici$/, "undici_agent.cjs"],
  [/^node:http2$/, "no_http2.cjs"],
  [/^prom-client$/, "prom_client_metrics.cjs"],
  [/locales\/index\.js$/, "no_locales.cjs"],
];

/** Omits modules that the daemon never uses. */
const reducedLibraries = {
  name: "reduced-libraries",
  setup(bundle) {
    for (const [filter, file] of REPLACEMENTS) {
      const path = fileURLToPath(new URL(file, import.meta.url));
      bundle.onResolve({ filter }, () => ({ path }));
    }
  },
};

/**
 * Reads the Node.js options that the daemon runs with. Node.js rejects cached
 * code that was compiled under other options and compiles the bundle again.
 */
function readNodeOptions() {
  const systemConfiguration = readFileSync("deploy/system.toml", "utf8");
  const command = /^run = "node (.*) target\/start_daemon\.cjs"$/m.exec(
    systemConfiguration,
  );
  if (command === null) {
    throw new Error("No daemon command in deploy/system.toml");
  }
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
  plugins: [reducedLibraries],
  sourcemap: false,
  minifySyntax: true,
  minifyWhitespace: true,
  logLevel: "warning",
  // Wraps the bundle in a CommonJS function that start_daemon.cjs calls.
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
  // Without the cache, the daemon only starts more slowly.
  console.warn(`Compiled code could not be cached: ${error.message}`);
}
