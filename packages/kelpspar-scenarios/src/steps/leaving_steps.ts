import type { StepTable } from "../language/step_definition.ts";
import { withDelayedSteps } from "../language/delayed_steps.ts";

/** Steps that make endpoints leave; each is announced by one source only. */
export const LEAVING_STEPS: StepTable = withDelayedSteps({
  "the VM list shows that {endpoint:name} is leaving": {
    meaning: "After its lag; the endpoint's own report says nothing",
    handler: (world, values) => {
      const endpoint = world.endpoint(values.text("endpoint"));
      endpoint.faults = { ...endpoint.faults, hidesLeaving: true };
      endpoint.leavingSince = world.timer.now() + world.vms.lagMilliseconds;
      world.vms.change(endpoint.id, { state: "leaving" });
    },
  },
  "the VM list shows that {endpoint:name} is live again": {
    meaning: "After its lag, of the same VM",
    handler: (world, values) =>
      world.vms.change(values.text("endpoint"), { state: "live" }),
  },
  "{endpoint:name} reports that it is leaving": {
    meaning: "The VM list goes on showing it as live",
    handler: (world, values) => {
      const endpoint = world.endpoint(values.text("endpoint"));
      endpoint.leavingSince = world.timer.now();
    },
  },
  "{endpoint:name} answers calls that it is leaving": {
    meaning:
      "By failure records that say it was not started; report and list say nothing",
    handler: (world, values) => {
      const endpoint = world.endpoint(values.text("endpoint"));
      endpoint.faults = {
        ...endpoint.faults,
        hidesLeaving: true,
        acceptsCallsWhileLeaving: false,
      };
      endpoint.leavingSince = world.timer.now();
    },
  },
  "an operator drains {endpoint:name} at daemon {daemon:number}": {
    meaning: "The VM list and the endpoint's report go on saying that it stays",
    handler: async (world, values) => {
      const endpoint = world.endpoint(values.text("endpoint"));
      endpoint.faults = { ...endpoint.faults, hidesLeaving: true };
      await world.operators.drain(world.daemon(values.number("daemon")), {
        kind: "endpoint",
        id: endpoint.id,
        incarnation: world.vms.row(endpoint.id).incarnation,
        onAccepted: () => {
          endpoint.leavingSince ??= world.timer.now();
        },
      });
    },
  },
  "{endpoint:name} starts a new process and stays drained": {
    meaning: "On the same VM, so that the operator's drain goes on",
    handler: (world, values) => {
      const endpoint = world.endpoint(values.text("endpoint"));
      const { leavingSince } = endpoint;
      endpoint.die();
      endpoint.restart();
      endpoint.faults = { ...endpoint.faults, hidesLeaving: true };
      endpoint.leavingSince = leavingSince;
    },
  },
  "{endpoint:name} is replaced under its address": {
    meaning: "A new VM with a new process; the list shows it after its lag",
    handler: (world, values) => {
      const endpoint = world.endpoint(values.text("endpoint"));
      endpoint.die();
      endpoint.restart();
      world.vms.replaceVm(endpoint.id);
    },
  },
});
