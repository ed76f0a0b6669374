// Installs the dependencies from the lock file if they are missing, so that
// `npm test` and `npm run demo` work in a fresh clone.
import { spawnSync } from "node:child_process";
import { existsSync } from "node:fs";
import process from "node:process";

if (!existsSync("node_modules/.package-lock.json")) {
  const result = spawnSync("npm", ["ci", "--no-audit", "--no-fund"], {
    stdio: "inherit",
  });
  process.exit(result.status ?? 1);
}
