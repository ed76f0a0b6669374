import { hashText, rendezvousScore } from "./rendezvous_hash.ts";

/** Limit of the hash cache; the same daemons are ranked repeatedly. */
const MAXIMUM_CACHED_HASHES = 8_192;

const cachedHashes = new Map<string, number>();

function hashName(name: string): number {
  const cached = cachedHashes.get(name);
  if (cached !== undefined) return cached;
  if (cachedHashes.size >= MAXIMUM_CACHED_HASHES) cachedHashes.clear();
  const hash = hashText(name);
  cachedHashes.set(name, hash);
  return hash;
}

interface HashedNode {
  readonly name: string;
  readonly hash: number;
}

/** Nodes among which keys are distributed by rendezvous hashing. */
export class RendezvousNodes {
  readonly #nodes: readonly HashedNode[];

  constructor(names: Iterable<string>) {
    this.#nodes = [...names].map((name) => ({ name, hash: hashName(name) }));
  }

  get size(): number {
    return this.#nodes.length;
  }

  /** The `count` nodes with the highest scores for `key`, best first. */
  best(key: string, count: number): readonly string[] {
    const keyHash = hashText(key);
    if (count >= this.#nodes.length) return this.#rankAll(keyHash);
    const names: string[] = [];
    const scores: number[] = [];
    for (const { name, hash } of this.#nodes) {
      const score = rendezvousScore(keyHash, hash);
      let place = scores.length;
      while (place > 0 && isBefore(score, name, place - 1)) place--;
      if (place >= count) continue;
      names.splice(place, 0, name);
      scores.splice(place, 0, score);
      names.length = scores.length = Math.min(count, names.length);
    }
    return names;

    function isBefore(score: number, name: string, place: number): boolean {
      const other = scores[place] ?? -1;
      return score > other || (score === other && name < (names[place] ?? ""));
    }
  }

  #rankAll(keyHash: number): readonly string[] {
    return this.#nodes
      .map(({ name, hash }) => ({
        name,
        score: rendezvousScore(keyHash, hash),
      }))
      .sort((left, right) =>
        right.score - left.score || (left.name < right.name ? -1 : 1)
      )
      .map(({ name }) => name);
  }
}
