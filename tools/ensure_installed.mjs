// `npm test` and `npm run demo` must work in a fresh clone, where nothing is
// installed yet; this installs from the lock file only when that is so.
import { spawnSync } from "node:child_process";
import { existsSync } from "node:fs";
import process from "node:process";

if (!existsSync("node_modules/.package-lock.json")) {
  const result = spawnSync("npm", ["ci", "--no-audit", "--no-fund"], {
    stdio: "inherit",
  });
  process.exit(result.status ?? 1);
}
