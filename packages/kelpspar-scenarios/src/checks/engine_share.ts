import type { World } from "../world/world.ts";

const ENGINE_SERVICE = "engine";

/** The calls to count. */
export interface EngineShareOptions {
  readonly accountId: string;
  /** Start and end, in milliseconds since the first submission. */
  readonly from: number;
  readonly to: number;
}

/** The share of an account in the calls that engines started, from 0 to 1. */
export function engineShare(
  world: World,
  options: EngineShareOptions,
): number {
  const begin = world.callers.submissions[0]?.sentAt ?? 0;
  const calls = world.executions.all.filter(({ service, startedAt }) =>
    service === ENGINE_SERVICE && startedAt >= begin + options.from &&
    startedAt < begin + options.to
  );
  const own = calls.filter(({ call }) => call.accountId === options.accountId);
  return calls.length === 0 ? 0 : own.length / calls.length;
}
