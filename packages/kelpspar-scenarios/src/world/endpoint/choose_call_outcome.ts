import type { EndpointFaults } from "./endpoint_faults.ts";
import type { CallOutcome } from "./endpoint_run.ts";

/** Chooses the outcome of the Nth call of an endpoint by its faults. */
export function chooseCallOutcome(
  number: number,
  faults: EndpointFaults,
): CallOutcome {
  const outcomes: readonly (readonly [CallOutcome, number])[] = [
    ["hang", faults.hangEvery],
    ["fail", faults.failEvery],
    ["lose_answer", faults.loseAnswerEvery],
    ["cut", faults.cutEvery],
    ["gap", faults.gapEvery],
  ];
  const found = outcomes.find(([, every]) => every > 0 && number % every === 0);
  return found?.[0] ?? "answer";
}
