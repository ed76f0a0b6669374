import type { Member } from "../membership/mod.ts";
import type { DirectoryEntry } from "./directory_entry.ts";
import type { AddressAnswer, RandomSource } from "kelpspar-shared";
import { listFreshEntries } from "./directory_entry.ts";
import { sampleEntries } from "./sample_entries.ts";

const SAME_ZONE_COUNT = 4;
const OTHER_ZONE_COUNT = 2;
const SPARE_SHARE_GAIN = 1;
const MINIMUM_WEIGHT = 0.1;
const FALLBACK_WEIGHT = 0.01;
const SPILLOVER_SPARE_SHARE = 0.2;
const KEEP_TIME_JITTER = 0.25;
const ISOLATED_KEEP_TIME_FACTOR = 0.2;

/** Inputs of `buildAddressAnswer`. */
export interface AddressAnswerOptions {
  /** The answering daemon; absent when it is leaving. */
  readonly self?: DirectoryEntry;
  readonly members: readonly Member[];
  /** The caller's zone; the answering daemon's own if the caller sent none. */
  readonly availabilityZone: string;
  /** Mean time for which callers cache an answer, milliseconds. */
  readonly keepMilliseconds: number;
  readonly random: RandomSource;
}

/**
 * Lists the daemons that a caller may use: several, those of its zone first,
 * weighted by spare capacity.
 *
 * If thousands of callers held the same answer, all of them would move to the
 * daemon that had the most spare capacity a while ago and overload it. The
 * symptom is load that oscillates between daemons with the period for which
 * answers are cached. Three measures prevent it: weights grow less than
 * proportionally with spare capacity, so that the correction stays below the
 * imbalance whatever the delay; each caller gets its own random sample of
 * daemons; and cache times are jittered.
 */
export function buildAddressAnswer(
  options: AddressAnswerOptions,
): AddressAnswer {
  const { self, members, random, keepMilliseconds } = options;
  const live = [
    ...self === undefined ? [] : [self],
    ...listFreshEntries(members, "live"),
  ];
  const isIsolated = !live.some((entry) => entry !== self);
  // With no other live daemon, this one is more likely partitioned than all the
  // others dead, and a caller with a single address can't fail over.
  const suspects = isIsolated ? listFreshEntries(members, "suspect") : [];
  const sameZone = live.filter((entry) => isSameZone(entry, options));
  const otherZones = live.filter((entry) => !isSameZone(entry, options));
  const spilloverWeight = sameZone.length === 0
    ? 1
    : computeSpilloverWeight(sameZone, otherZones);
  const daemons = [
    ...assignWeights(
      sampleEntries(sameZone, { count: SAME_ZONE_COUNT, random }),
      1,
    ),
    ...assignWeights(
      sampleEntries(otherZones, { count: OTHER_ZONE_COUNT, random }),
      spilloverWeight,
    ),
    ...assignWeights(
      sampleEntries(suspects, { count: OTHER_ZONE_COUNT, random }),
      FALLBACK_WEIGHT,
    ),
  ];
  const share = isIsolated ? ISOLATED_KEEP_TIME_FACTOR : 1;
  const jitter = 1 - KEEP_TIME_JITTER + 2 * KEEP_TIME_JITTER * random.next();
  return {
    daemons,
    keepMilliseconds: Math.ceil(keepMilliseconds * share * jitter),
  };
}

function isSameZone(
  entry: DirectoryEntry,
  options: AddressAnswerOptions,
): boolean {
  return entry.availabilityZone === options.availabilityZone;
}

function assignWeights(
  entries: readonly DirectoryEntry[],
  factor: number,
): AddressAnswer["daemons"] {
  const mean = meanSpareShare(entries);
  return entries.map((entry) => {
    const { address, port, availabilityZone, incarnation, keyEpoch } = entry;
    const weight = Math.max(
      MINIMUM_WEIGHT,
      1 + SPARE_SHARE_GAIN * (entry.spareShare - mean),
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
 * Other zones are a fallback until the caller's zone runs short of capacity;
 * then they are weighted by how much more spare capacity they have.
 */
function computeSpilloverWeight(
  sameZone: readonly DirectoryEntry[],
  otherZones: readonly DirectoryEntry[],
): number {
  const sameZoneSpare = meanSpareShare(sameZone);
  const shortage = 1 - sameZoneSpare / SPILLOVER_SPARE_SHARE;
  const advantage = meanSpareShare(otherZones) - sameZoneSpare;
  if (shortage <= 0 || advantage <= 0) return FALLBACK_WEIGHT;
  return Math.max(FALLBACK_WEIGHT, shortage * advantage);
}

function meanSpareShare(entries: readonly DirectoryEntry[]): number {
  const sum = entries.reduce((total, entry) => total + entry.spareShare, 0);
  return entries.length === 0 ? 0 : sum / entries.length;
}
