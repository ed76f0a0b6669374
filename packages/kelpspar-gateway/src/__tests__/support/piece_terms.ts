import type { PieceTerms } from "../../configuration/service_definition.ts";

/** Creates the terms of a simulated stage service. */
export function createPieceTerms(
  options:
    & Pick<
      PieceTerms,
      "batch" | "callMilliseconds" | "pieceMilliseconds"
    >
    & { readonly roomMegabytes: number },
): PieceTerms {
  const { roomMegabytes, ...rest } = options;
  return {
    ...rest,
    slots: 1,
    resultBytes: roomMegabytes * 1_000_000,
    keptMilliseconds: 4_000,
  };
}
