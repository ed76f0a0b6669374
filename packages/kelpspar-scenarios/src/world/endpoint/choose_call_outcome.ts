import type { EndpointFaults } from "./endpoint_faults.ts";
import type { RunFate } from "./endpoint_run.ts";

/** How the Nth call of an endpoint ends under its faults. */
export function fateOfCall(number: number, faults: EndpointFaults): RunFate {
  const fates: readonly (readonly [RunFate, number])[] = [
    ["hang", faults.hangEvery],
    ["fail", faults.failEvery],
    ["lose_answer", faults.loseAnswerEvery],
    ["cut", faults.cutEvery],
    ["gap", faults.gapEvery],
  ];
  const found = fates.find(([, every]) => every > 0 && number % every === 0);
  return found?.[0] ?? "answer";
}
