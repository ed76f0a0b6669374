const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns a 32-bit hash of `text`, the same in every process. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return scramble(hash);
}

/**
 * Returns the score of a node for a key; the node with the highest score owns
 * the key. Processes with the same set of nodes agree without coordination, and
 * adding or removing a node moves only that node's keys.
 *
 * Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
 * rates", 1998 (rendezvous hashing).
 */
export function rendezvousScore(keyHash: number, nodeHash: number): number {
  return scramble(keyHash ^ Math.imul(nodeHash, 0x9e3779b1));
}

function scramble(value: number): number {
  let hash = value ^ (value >>> 16);
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
