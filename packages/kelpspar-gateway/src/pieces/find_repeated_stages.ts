import type { ChainRequest } from "./chain_request.ts";

/** Share of a service's usual call time that a call takes at least. */
const MINIMUM_CALL_SHARE = 0.5;

/**
 * Stages that an earlier run of a chain may have begun: those whose inputs could
 * be made while it lasted.
 */
export function findRepeatedStages(
  { stages, earlierRunMilliseconds }: ChainRequest,
  callMillisecondsOf: (service: string) => number,
): ReadonlySet<number> {
  if (earlierRunMilliseconds === undefined) return new Set();
  const earliestStart = (number: number): number =>
    Math.max(
      0,
      ...(stages[number]?.after ?? []).map((input) => {
        const { service = "", pieces = 0 } = stages[input] ?? {};
        const call = pieces === 0
          ? 0
          : MINIMUM_CALL_SHARE * callMillisecondsOf(service);
        return earliestStart(input) + call;
      }),
    );
  return new Set(
    stages.map((_, number) => number).filter((number) =>
      earliestStart(number) <= earlierRunMilliseconds
    ),
  );
}
