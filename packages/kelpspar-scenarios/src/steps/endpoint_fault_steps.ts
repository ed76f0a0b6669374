import type { StepArguments } from "../language/step_arguments.ts";
import type { StepDefinition, StepTable } from "../language/step_definition.ts";
import type { EndpointFaults } from "../world/endpoint/endpoint_faults.ts";
import type { WorldEndpoint } from "../world/endpoint/world_endpoint.ts";
import type { World } from "../world/world.ts";
import { plannedSteps } from "../language/delayed_steps.ts";
import { NO_ENDPOINT_FAULTS } from "../world/endpoint/endpoint_faults.ts";

const EVERY = "every ";

/**
 * Steps by which endpoints fail. `{endpoints}` is an id such as `engine-1`, or
 * `every engine` for all of a service.
 */
export const ENDPOINT_FAULT_STEPS: StepTable = plannedSteps({
  "{endpoints:endpoints} dies": each(
    "The process ends without a word; its connections break",
    (endpoint) => endpoint.die(),
  ),
  "{endpoints:endpoints} starts anew": each(
    "A new process listens under the same address",
    (endpoint) => endpoint.restart(),
  ),
  "{endpoints:endpoints} is slower by a factor of {factor:number}": faulty(
    "Each call takes so many times as long",
    (values) => ({ slowFactor: values.number("factor") }),
  ),
  "{endpoints:endpoints} fails every {every:ordinal} call": faulty(
    "It runs the call and says that it failed",
    (values) => ({ failEvery: values.ordinal("every") }),
  ),
  "{endpoints:endpoints} loses the answer of every {every:ordinal} call":
    faulty(
      "It runs the call and drops the connection",
      (values) => ({ loseAnswerEvery: values.ordinal("every") }),
    ),
  "{endpoints:endpoints} never answers every {every:ordinal} call": faulty(
    "It runs the call and sends nothing",
    (values) => ({ hangEvery: values.ordinal("every") }),
  ),
  "{endpoints:endpoints} cuts every {every:ordinal} answer short": faulty(
    "It ends the stream in the middle, in good order",
    (values) => ({ cutEvery: values.ordinal("every") }),
  ),
  "{endpoints:endpoints} leaves a piece out of every {every:ordinal} answer":
    faulty(
      "It sends the end record all the same",
      (values) => ({ gapEvery: values.ordinal("every") }),
    ),
  "{endpoints:endpoints} sends every record twice": faulty(
    "Every record comes twice",
    () => ({ duplicatesRecords: true }),
  ),
  "{endpoints:endpoints} sends records out of order": faulty(
    "Every other record comes after the next one",
    () => ({ reordersRecords: true }),
  ),
  "{endpoints:endpoints} mixes in records of other calls": faulty(
    "Records of another request and of an earlier attempt come first",
    () => ({ mixesRecords: true }),
  ),
  "{endpoints:endpoints} splits characters between pieces": faulty(
    "A character of two UTF-16 units may come in two pieces",
    () => ({ splitsCharacters: true }),
  ),
  "{endpoints:endpoints} is overloaded": faulty(
    "It answers every call by a record that says it was not started",
    () => ({ isOverloaded: true }),
  ),
  "{endpoints:endpoints} is well again": faulty(
    "It has none of these faults any more",
    () => NO_ENDPOINT_FAULTS,
  ),
});

/** The endpoints that a step names. */
export function findEndpoints(
  world: World,
  values: StepArguments,
): readonly WorldEndpoint[] {
  const name = values.text("endpoints");
  return name.startsWith(EVERY)
    ? world.endpointsOf(name.slice(EVERY.length))
    : [world.endpoint(name)];
}

function each(
  meaning: string,
  act: (endpoint: WorldEndpoint, values: StepArguments) => void,
): StepDefinition {
  return {
    meaning,
    handler: (world, values) => {
      for (const endpoint of findEndpoints(world, values)) {
        act(endpoint, values);
      }
    },
  };
}

function faulty(
  meaning: string,
  read: (values: StepArguments) => Partial<EndpointFaults>,
): StepDefinition {
  return each(meaning, (endpoint, values) => {
    endpoint.faults = { ...endpoint.faults, ...read(values) };
  });
}
