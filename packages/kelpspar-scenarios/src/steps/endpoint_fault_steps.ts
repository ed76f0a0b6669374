import type { StepArguments } from "../language/step_arguments.ts";
import type { StepDefinition, StepTable } from "../language/step_definition.ts";
import type { EndpointFaults } from "../world/endpoint/endpoint_faults.ts";
import type { WorldEndpoint } from "../world/endpoint/world_endpoint.ts";
import type { World } from "../world/world.ts";
import { withDelayedSteps } from "../language/delayed_steps.ts";
import { NO_ENDPOINT_FAULTS } from "../world/endpoint/endpoint_faults.ts";

const ALL_OF_SERVICE_PREFIX = "every ";

/**
 * Steps that inject faults into endpoints. `{endpoints}` is an id such as
 * `engine-1`, or `every engine` for all endpoints of a service.
 */
export const ENDPOINT_FAULT_STEPS: StepTable = withDelayedSteps({
  "{endpoints:endpoints} dies": forEachEndpoint(
    "The process ends without a word; its connections break",
    (endpoint) => endpoint.die(),
  ),
  "{endpoints:endpoints} starts anew": forEachEndpoint(
    "A new process listens under the same address",
    (endpoint) => endpoint.restart(),
  ),
  "{endpoints:endpoints} is slower by a factor of {factor:number}": setFaults(
    "Each call takes so many times as long",
    (values) => ({ slowFactor: values.number("factor") }),
  ),
  "{endpoints:endpoints} fails every {every:ordinal} call": setFaults(
    "It runs the call and says that it failed",
    (values) => ({ failEvery: values.ordinal("every") }),
  ),
  "{endpoints:endpoints} loses the answer of every {every:ordinal} call":
    setFaults(
      "It runs the call and drops the connection",
      (values) => ({ loseAnswerEvery: values.ordinal("every") }),
    ),
  "{endpoints:endpoints} never answers every {every:ordinal} call": setFaults(
    "It runs the call and sends nothing",
    (values) => ({ hangEvery: values.ordinal("every") }),
  ),
  "{endpoints:endpoints} cuts every {every:ordinal} answer short": setFaults(
    "It ends the stream in the middle, in good order",
    (values) => ({ cutEvery: values.ordinal("every") }),
  ),
  "{endpoints:endpoints} leaves a piece out of every {every:ordinal} answer":
    setFaults(
      "It sends the end record all the same",
      (values) => ({ gapEvery: values.ordinal("every") }),
    ),
  "{endpoints:endpoints} sends every record twice": setFaults(
    "Every record comes twice",
    () => ({ duplicatesRecords: true }),
  ),
  "{endpoints:endpoints} sends records out of order": setFaults(
    "Every other record comes after the next one",
    () => ({ reordersRecords: true }),
  ),
  "{endpoints:endpoints} mixes in records of other calls": setFaults(
    "Records of another request and of an earlier attempt come first",
    () => ({ mixesRecords: true }),
  ),
  "{endpoints:endpoints} splits characters between pieces": setFaults(
    "A character of two UTF-16 units may come in two pieces",
    () => ({ splitsCharacters: true }),
  ),
  "{endpoints:endpoints} is overloaded": setFaults(
    "It answers every call by a record that says it was not started",
    () => ({ isOverloaded: true }),
  ),
  "{endpoints:endpoints} is well again": setFaults(
    "It has none of these faults any more",
    () => NO_ENDPOINT_FAULTS,
  ),
});

/** Finds the endpoints that a step names. */
export function findEndpoints(
  world: World,
  values: StepArguments,
): readonly WorldEndpoint[] {
  const name = values.text("endpoints");
  return name.startsWith(ALL_OF_SERVICE_PREFIX)
    ? world.endpointsOf(name.slice(ALL_OF_SERVICE_PREFIX.length))
    : [world.endpoint(name)];
}

function forEachEndpoint(
  meaning: string,
  apply: (endpoint: WorldEndpoint, values: StepArguments) => void,
): StepDefinition {
  return {
    meaning,
    handler: (world, values) => {
      for (const endpoint of findEndpoints(world, values)) {
        apply(endpoint, values);
      }
    },
  };
}

function setFaults(
  meaning: string,
  readFaults: (values: StepArguments) => Partial<EndpointFaults>,
): StepDefinition {
  return forEachEndpoint(meaning, (endpoint, values) => {
    endpoint.faults = { ...endpoint.faults, ...readFaults(values) };
  });
}
