import type { RankTrustedOptions } from "./fleet_view.ts";
import type { Member } from "./member_record.ts";
import { coordinationTier } from "./coordination_tier.ts";
import { rankTrusted } from "./fleet_view.ts";

interface CachedRanking {
  readonly members: readonly Member[];
  readonly ranking: readonly string[];
}

/**
 * Reuses rankings of daemons across views. A view is replaced every 50 ms, but
 * the daemons in it and their states rarely change, and ranking 60 daemons for
 * each request costs as much as choosing its endpoint.
 */
export class RankingCache {
  readonly #cached = new Map<string, CachedRanking>();

  rank(key: string, options: RankTrustedOptions): readonly string[] {
    const name = `${coordinationTier(options.own)} ${key}`;
    const members = options.view.trustedMembers;
    const known = this.#cached.get(name);
    if (known !== undefined && isSame(known.members, members)) {
      return known.ranking;
    }
    const ranking = rankTrusted(key, options);
    this.#cached.set(name, { members, ranking });
    return ranking;
  }
}

function isSame(left: readonly Member[], right: readonly Member[]): boolean {
  return left.length === right.length &&
    left.every((member, index) => isAlike(member, right[index]));
}

function isAlike(left: Member, right: Member | undefined): boolean {
  return right !== undefined && left.address === right.address &&
    left.heartbeat.isLeaving === right.heartbeat.isLeaving &&
    left.heartbeat.isReady === right.heartbeat.isReady &&
    left.heartbeat.isStoreFresh === right.heartbeat.isStoreFresh &&
    left.heartbeat.isIsolated === right.heartbeat.isIsolated;
}
