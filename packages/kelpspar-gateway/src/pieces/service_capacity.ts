import type { PieceTerms } from "../configuration/service_definition.ts";

/** Time that a call with `pieces` takes on a sound endpoint, milliseconds. */
export function callTime(terms: PieceTerms, pieces: number): number {
  return terms.callMilliseconds + pieces * terms.pieceMilliseconds;
}

/** The same for what one call can carry of `pieces`. */
export function oneCallTime(terms: PieceTerms, pieces: number): number {
  return callTime(terms, Math.min(pieces, terms.batch));
}

/**
 * Pieces a millisecond that endpoints of a stage service make in full calls.
 * `slowness` holds one factor for each endpoint that takes work.
 */
export function piecesPerMillisecond(
  terms: PieceTerms,
  slowness: readonly number[],
): number {
  const full = terms.batch / callTime(terms, terms.batch);
  return slowness.reduce((sum, factor) => sum + full / factor, 0);
}
