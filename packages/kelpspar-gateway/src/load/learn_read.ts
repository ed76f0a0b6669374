import type { EndpointLoad } from "./endpoint_load.ts";

const READ_KIND = "read";
/** Fixed time of a read, in tokens: the network and the first step. */
const OVERHEAD_TOKENS = 1_000;
/** Below this, the fixed time outweighs the speed of reading. */
const MINIMUM_TOKENS = 2_000;

/** A prompt that an endpoint has read. */
export interface CompletedRead {
  /** Prompt tokens that had to be read. */
  readonly tokens: number;
  /** From send to first byte. */
  readonly milliseconds: number;
  readonly now: number;
}

/**
 * Learns an endpoint's reading speed from a read. Prompts are read one after
 * another, so its time counts from the end of the previous one. The number of
 * tokens is an estimate: a prompt that was evicted is read again.
 */
export function learnRead(load: EndpointLoad, read: CompletedRead): void {
  const { tokens, now } = read;
  const milliseconds = Math.min(read.milliseconds, now - load.readEndedAt);
  load.readEndedAt = now;
  if (tokens < MINIMUM_TOKENS || milliseconds <= 0) return;
  const { service } = load;
  const perToken = milliseconds / (tokens + OVERHEAD_TOKENS);
  const nominal = service.nominalTimes.of(READ_KIND) ?? perToken;
  const relative = load.slowness(now) / service.medianPace(now);
  service.nominalTimes.record(READ_KIND, perToken / relative);
  load.observe(perToken / nominal, { now, isEstimate: true });
}
