// Bundles the daemon into one file, which starts faster than many.
import { build } from "esbuild";

await build({
  entryPoints: ["platform/src/main.ts"],
  outfile: "target/daemon.mjs",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  conditions: ["source"],
  sourcemap: false,
  minifySyntax: true,
  minifyWhitespace: true,
  logLevel: "warning",
  // Some libraries are CommonJS and ask for `require`.
  banner: {
    js:
      "import { createRequire as kelpsparRequire } from 'node:module';const require=kelpsparRequire(import.meta.url);",
  },
});
