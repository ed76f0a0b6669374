import type { EndpointSettings } from "../endpoint/endpoint_settings.ts";
import { SystemTimer } from "kelpspar-shared";
import { startEndpoint } from "../endpoint/start_endpoint.ts";
import { printLine, printListening, readSettings } from "./read_settings.ts";

const EXIT_CRASHED = 1;

const settings = readSettings() as EndpointSettings;
const endpoint = await startEndpoint(settings, {
  timer: new SystemTimer(),
  onDie: () => process.exit(EXIT_CRASHED),
  onLeft: () => process.exit(0),
  ...(settings.printExecutions === true
    ? { onExecution: (execution) => printLine({ execution }) }
    : {}),
});
// The handler stays registered, so that a second SIGTERM does not cut off
// running calls.
process.on("SIGTERM", () => void endpoint.leave());
printListening({
  address: endpoint.address,
  port: endpoint.port,
  incarnation: endpoint.incarnation,
});
