// Starts a process that ends by itself only after a minute, and prints its id.
import { fileURLToPath } from "node:url";
import { exitOnSignals } from "../../process/owned_processes.ts";
import { StartedProcess } from "../../process/started_process.ts";

const CHILD = fileURLToPath(new URL("./idle_process.ts", import.meta.url));

exitOnSignals();
const child = new StartedProcess({
  program: CHILD,
  nodeArguments: ["--import", "tsx"],
});
process.stdout.write(`${child.processId}\n`);
