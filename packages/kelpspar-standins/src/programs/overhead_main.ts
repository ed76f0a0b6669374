import { SystemTimer } from "kelpspar-shared";
import { runOverhead } from "../overhead/run_overhead.ts";
import { printLine } from "./read_settings.ts";

await runOverhead(new SystemTimer(), printLine);
