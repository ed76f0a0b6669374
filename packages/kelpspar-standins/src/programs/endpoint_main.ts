import type { EndpointSettings } from "../endpoint/endpoint_settings.ts";
import { SystemTimer } from "kelpspar-shared";
import { startEndpoint } from "../endpoint/start_endpoint.ts";
import { printLine, printListening, readSettings } from "./read_settings.ts";

const EXIT_DIED = 1;

const settings = readSettings() as EndpointSettings;
const endpoint = await startEndpoint(settings, {
  timer: new SystemTimer(),
  onDie: () => process.exit(EXIT_DIED),
  onLeft: () => process.exit(0),
  ...(settings.printExecutions === true
    ? { onExecution: (execution) => printLine({ execution }) }
    : {}),
});
/** Stays registered: a second signal cuts nothing off. */
process.on("SIGTERM", () => void endpoint.leave());
printListening({
  address: endpoint.address,
  port: endpoint.port,
  incarnation: endpoint.incarnation,
});
