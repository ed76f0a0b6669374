import type { SubmitRequest } from "kelpspar-shared";
import type { DaemonCore } from "../../create_core.ts";
import type { TestPorts } from "./test_ports.ts";
import type { RequestContext } from "../../requests/request_context.ts";
import { invariant, ManualTimer, submitRequestSchema } from "kelpspar-shared";
import { createCore } from "../../create_core.ts";
import { createTestPorts } from "./test_ports.ts";
import {
  createConfiguration,
  createRow,
  createSettings,
  ENDPOINT_VMS,
} from "./test_site.ts";

/** A daemon's components on a manual timer, without sockets. */
export interface CoreHarness {
  readonly timer: ManualTimer;
  readonly ports: TestPorts;
  readonly core: DaemonCore;
  /** Submits a request for a client account; missing fields get defaults. */
  submit(
    request: Partial<SubmitRequest>,
    accountId?: string,
  ): RequestContext;
  stop(): Promise<void>;
}

/** Creates the components with an active configuration and listed endpoints. */
export function createCoreHarness(
  options: {
    readonly configuration?: Readonly<Record<string, unknown>>;
    readonly settings?: Readonly<Record<string, unknown>>;
  } = {},
): CoreHarness {
  const timer = new ManualTimer();
  const ports = createTestPorts(timer);
  const settings = createSettings(options.settings);
  const core = createCore({ settings, ports, port: () => 1 });
  const stop = core.start();
  const configuration = createConfiguration(options.configuration);
  core.configurationManager.offer(createRow(1, configuration), "table");
  core.state.update(() => ({ vms: ENDPOINT_VMS }));
  core.endpointMonitor.applyVmList();
  return {
    timer,
    ports,
    core,
    submit: (request, accountId = "small") => {
      const account = core.configuration.accounts().get(accountId);
      invariant(account !== undefined, 9008);
      return core.requests.submit(account, createRequest(request));
    },
    stop: async () => {
      stop();
      await core.metrics.close();
    },
  };
}

function createRequest(request: Partial<SubmitRequest>): SubmitRequest {
  return submitRequestSchema.parse({
    pipeline: "echo",
    input: "lime",
    deadlineMilliseconds: 1_000,
    ...request,
  });
}
