import { SystemTimer } from "kelpspar-shared";
import { DEMO_SITES } from "../demo/demo_site.ts";
import { runDemo } from "../demo/run_demo.ts";
import { exitOnSignals } from "../process/owned_processes.ts";
import { printText } from "./read_settings.ts";

const EXIT_FAILED = 1;
const EXIT_USAGE = 64;

const [name = "tillbrook"] = process.argv.slice(2);
const demo = DEMO_SITES[name];
if (demo === undefined) {
  printText(`Usage: demo [${Object.keys(DEMO_SITES).join("|")}]`);
  process.exit(EXIT_USAGE);
}
exitOnSignals();
try {
  await runDemo(demo, { timer: new SystemTimer(), print: printText });
} catch (thrown) {
  printText(thrown instanceof Error ? thrown.message : String(thrown));
  process.exitCode = EXIT_FAILED;
}
