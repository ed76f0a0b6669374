import type { CallerHolding, HoldingState } from "./caller_holding.ts";

/** How often the pace of all holdings is checked. */
export const CHECK_INTERVAL_MILLISECONDS = 1_000;
/** Bytes that have to come or be read a second, on average over a span. */
const MINIMUM_BYTES_PER_CHECK = 8 * 1024;
/**
 * Number of checks in a span. A connection buffers some megabytes of an answer
 * and reports late what was read.
 */
const SPAN_CHECKS: Readonly<Record<HoldingState, number>> = {
  arriving: 10,
  kept: Number.POSITIVE_INFINITY,
  unread: 30,
};

/**
 * To be called at each check; false if too little came or was read in a span.
 * Counts checks, since those of a process that is held up come late.
 */
export function checkPace(holding: CallerHolding): boolean {
  const { span } = holding;
  span.checks++;
  if (span.checks < SPAN_CHECKS[holding.state]) return true;
  const isFast = span.bytes >= span.checks * MINIMUM_BYTES_PER_CHECK;
  span.checks = 0;
  span.bytes = 0;
  return isFast;
}
