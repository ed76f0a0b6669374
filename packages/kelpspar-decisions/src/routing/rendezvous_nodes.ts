import { hashText, rendezvousScore } from "./rendezvous_hash.ts";

/** Names whose hashes are kept; the same daemons are ranked all the time. */
const MOST_KEPT_HASHES = 8_192;

const keptHashes = new Map<string, number>();

function hashName(name: string): number {
  const known = keptHashes.get(name);
  if (known !== undefined) return known;
  if (keptHashes.size >= MOST_KEPT_HASHES) keptHashes.clear();
  const hash = hashText(name);
  keptHashes.set(name, hash);
  return hash;
}

interface HashedNode {
  readonly name: string;
  readonly hash: number;
}

/** Nodes that share out keys by rendezvous hashing. */
export class RendezvousNodes {
  readonly #nodes: readonly HashedNode[];

  constructor(names: Iterable<string>) {
    this.#nodes = [...names].map((name) => ({ name, hash: hashName(name) }));
  }

  get size(): number {
    return this.#nodes.length;
  }

  /** The `count` nodes that suit `key` best, best first. */
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
