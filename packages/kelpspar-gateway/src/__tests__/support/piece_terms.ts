import type { PieceTerms } from "../../configuration/service_definition.ts";

/** Creates a factory of terms for simulated stage services with equal call times. */
export function createTermsFactory(
  callMilliseconds: number,
): (
  batch: number,
  pieceMilliseconds: number,
  roomMegabytes: number,
) => PieceTerms {
  return (batch, pieceMilliseconds, roomMegabytes) => ({
    batch,
    slots: 1,
    callMilliseconds,
    pieceMilliseconds,
    resultBytes: roomMegabytes * 1_000_000,
    keptMilliseconds: 4_000,
  });
}
