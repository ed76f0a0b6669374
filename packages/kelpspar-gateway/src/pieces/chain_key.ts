import type { ChainRequest } from "./chain_request.ts";

/** Identical for chains whose results are the same. */
export function chainKeyOf(
  { kind, pieceKey, stages }: Pick<
    ChainRequest,
    "kind" | "pieceKey" | "stages"
  >,
): string {
  return JSON.stringify([
    kind,
    pieceKey,
    stages.map(({ service, after, pieces }) => [service, after, pieces]),
  ]);
}
