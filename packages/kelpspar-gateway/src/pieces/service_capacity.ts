import type { PieceTerms } from "../configuration/service_definition.ts";

/** Time of a call with `pieces` pieces on a healthy endpoint, milliseconds. */
export function callTime(terms: PieceTerms, pieces: number): number {
  return terms.callMilliseconds + pieces * terms.pieceMilliseconds;
}

/** Time of one call that carries as many of `pieces` as fit, milliseconds. */
export function singleCallTime(terms: PieceTerms, pieces: number): number {
  return callTime(terms, Math.min(pieces, terms.batch));
}

/**
 * Pieces per millisecond that endpoints of a stage service make in full calls.
 * `slowness` has one factor for each usable endpoint.
 */
export function piecesPerMillisecond(
  terms: PieceTerms,
  slowness: readonly number[],
): number {
  const full = terms.batch / callTime(terms, terms.batch);
  return slowness.reduce((sum, factor) => sum + full / factor, 0);
}
