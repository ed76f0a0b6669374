import { hashText, rendezvousScore } from "./rendezvous_hash.ts";

interface HashedNode {
  readonly name: string;
  readonly hash: number;
}

/** Nodes that share out keys by rendezvous hashing. */
export class RendezvousNodes {
  readonly #nodes: readonly HashedNode[];

  constructor(names: Iterable<string>) {
    this.#nodes = [...names].map((name) => ({ name, hash: hashText(name) }));
  }

  get size(): number {
    return this.#nodes.length;
  }

  /** The `count` nodes that suit `key` best, best first. */
  best(key: string, count: number): readonly string[] {
    const keyHash = hashText(key);
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
}
