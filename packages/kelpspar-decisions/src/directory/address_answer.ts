import type { Member } from "../membership/mod.ts";
import type { DirectoryEntry } from "./directory_entry.ts";
import type { AddressAnswer, RandomSource } from "kelpspar-shared";
import { entriesOf } from "./directory_entry.ts";
import { drawEntries } from "./draw_entries.ts";

const NEAR_COUNT = 4;
const FAR_COUNT = 2;
const DAMPING = 1;
const LEAST_WEIGHT = 0.1;
const FALLBACK_WEIGHT = 0.01;
const SPILL_BELOW_SPARE = 0.2;
const KEEP_JITTER = 0.25;
const KEEP_SHARE_IN_DOUBT = 0.2;

/** What an answer is made from. */
export interface AddressAnswerOptions {
  /** The daemon that answers; absent when it is leaving. */
  readonly self?: DirectoryEntry;
  readonly members: readonly Member[];
  /** The caller's zone; the answering daemon's own if the caller said none. */
  readonly availabilityZone: string;
  /** How long an answer is kept on average, milliseconds. */
  readonly keepMilliseconds: number;
  readonly random: RandomSource;
}

/**
 * Which daemons a caller may use: several, those of its zone first, weighted by
 * spare room.
 *
 * What goes wrong: thousands of callers hold the same answer, all of them move
 * to the daemon that had most room a while ago, and it drowns. It shows as load
 * that swings between daemons with the time answers are kept. Three things
 * prevent it. Weights follow spare room less than proportionally, so that the
 * correction stays below what is out of balance whatever the delay. Each caller
 * gets its own draw of daemons. Times to keep are jittered.
 */
export function answerAddresses(options: AddressAnswerOptions): AddressAnswer {
  const { self, members, random, keepMilliseconds } = options;
  const live = [
    ...self === undefined ? [] : [self],
    ...entriesOf(members, "live"),
  ];
  const isInDoubt = !live.some((entry) => entry !== self);
  // With nobody else live this daemon is more likely cut off than the others
  // dead, and a caller with one address has no way out.
  const doubtful = isInDoubt ? entriesOf(members, "suspect") : [];
  const near = live.filter((entry) => isNear(entry, options));
  const far = live.filter((entry) => !isNear(entry, options));
  const spillWeight = near.length === 0 ? 1 : spillWeightOf(near, far);
  const daemons = [
    ...weigh(drawEntries(near, { count: NEAR_COUNT, random }), 1),
    ...weigh(drawEntries(far, { count: FAR_COUNT, random }), spillWeight),
    ...weigh(
      drawEntries(doubtful, { count: FAR_COUNT, random }),
      FALLBACK_WEIGHT,
    ),
  ];
  const share = isInDoubt ? KEEP_SHARE_IN_DOUBT : 1;
  const jitter = 1 - KEEP_JITTER + 2 * KEEP_JITTER * random.next();
  return {
    daemons,
    keepMilliseconds: Math.ceil(keepMilliseconds * share * jitter),
  };
}

function isNear(
  entry: DirectoryEntry,
  options: AddressAnswerOptions,
): boolean {
  return entry.availabilityZone === options.availabilityZone;
}

function weigh(
  entries: readonly DirectoryEntry[],
  factor: number,
): AddressAnswer["daemons"] {
  const mean = meanSpare(entries);
  return entries.map((entry) => {
    const { address, port, availabilityZone, incarnation, keyEpoch } = entry;
    const weight = Math.max(
      LEAST_WEIGHT,
      1 + DAMPING * (entry.spareShare - mean),
    );
    return {
      address,
      port,
      availabilityZone,
      incarnation,
      keyEpoch,
      weight: factor * weight,
    };
  });
}

/**
 * Other zones are a fallback until the own one runs short of room; then they
 * get calls by what they have more of.
 */
function spillWeightOf(
  near: readonly DirectoryEntry[],
  far: readonly DirectoryEntry[],
): number {
  const nearSpare = meanSpare(near);
  const shortage = 1 - nearSpare / SPILL_BELOW_SPARE;
  const advantage = meanSpare(far) - nearSpare;
  if (shortage <= 0 || advantage <= 0) return FALLBACK_WEIGHT;
  return Math.max(FALLBACK_WEIGHT, shortage * advantage);
}

function meanSpare(entries: readonly DirectoryEntry[]): number {
  const sum = entries.reduce((total, entry) => total + entry.spareShare, 0);
  return entries.length === 0 ? 0 : sum / entries.length;
}
