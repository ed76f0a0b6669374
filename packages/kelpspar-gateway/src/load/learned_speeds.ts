import type { EndpointEntry } from "../endpoints/endpoint_entry.ts";
import type { EndpointLoad } from "./endpoint_load.ts";
import type { LearnedSpeed } from "./learned_speed.ts";
import { hashText } from "kelpspar-decisions/routing";
import { fromLevel, toLevel } from "./learned_speed.ts";

/** Calls from which a daemon's estimate is near its final value. */
const MINIMUM_SAMPLES = 24;
/** Samples between two checks of an estimate. */
const CHECK_SAMPLES = 4;
/** Change of the logarithm that is exchanged: less makes little difference. */
const MATERIAL_CHANGE = Math.log(1.15);
/**
 * Minimum time before the first change of an endpoint's speed, milliseconds; it
 * grows with each change, so that daemons that disagree exchange ever less.
 */
const CHANGE_INTERVAL_MILLISECONDS = 5_000;
/** Size of a page, bytes; with what encloses it, a message has up to 4 KB. */
const PAGE_BYTES = 3_900;
/** Share of a page for the newest changes; the rest repairs lost messages. */
const NEWEST_SHARE = 0.5;
/** Speeds kept, of endpoints that started last: more than a large site has. */
const MAXIMUM_SPEEDS = 4_000;

interface KnownSpeed {
  readonly speed: LearnedSpeed;
  readonly bytes: number;
  readonly changedAt: number;
}

/**
 * Baseline speeds of endpoints relative to the median of their service, learned
 * by any daemon and replicated to all: a daemon that becomes coordinator, or
 * that rarely calls an endpoint, starts from them. Only speeds that differ
 * materially from the median or from the known one are recorded, so that
 * daemons exchange nothing while nothing changes. Of two speeds the one of the
 * later incarnation, then the higher revision, then the lower level is kept, so
 * that all daemons end with the same.
 */
export class LearnedSpeeds {
  /** In order of their change, by endpoint id. */
  readonly #known = new Map<string, KnownSpeed>();
  #checksum = 0;
  /** Position from which the next page repeats older entries. */
  #cursor = 0;

  get size(): number {
    return this.#known.size;
  }

  /** 0 without speeds; equal for daemons with the same speeds. */
  get checksum(): number {
    return this.#checksum;
  }

  /** Learned speed of an incarnation; undefined for that of the median. */
  speedOf({ id, bornAt }: EndpointEntry): number | undefined {
    const known = this.#known.get(id)?.speed;
    return known?.[1] === bornAt ? fromLevel(known[2]) : undefined;
  }

  /** Records the estimate of this daemon if it differs materially. */
  learn(load: EndpointLoad, now: number): void {
    const { samples, entry } = load;
    const isDue = load.isActive && samples >= MINIMUM_SAMPLES &&
      samples % CHECK_SAMPLES === 0;
    if (!isDue) return;
    const known = this.#known.get(entry.id);
    const shared = this.speedOf(entry) ?? 1;
    const speed = load.speed(now);
    if (Math.abs(Math.log(speed / shared)) < MATERIAL_CHANGE) return;
    const last = known?.speed[1] === entry.bornAt ? known.speed[3] : 0;
    const elapsed = now - (known?.changedAt ?? Number.NEGATIVE_INFINITY);
    if (elapsed < last * CHANGE_INTERVAL_MILLISECONDS) return;
    const revision = last + 1;
    this.#merge([entry.id, entry.bornAt, toLevel(speed), revision], now);
  }

  /** A page for another daemon: the newest changes, then others in turn. */
  page(): readonly LearnedSpeed[] {
    const all = [...this.#known.values()].reverse();
    const page = new Set<LearnedSpeed>();
    let bytes = 0;
    const add = (
      { speed, bytes: size }: KnownSpeed,
      limit: number,
    ): boolean => {
      if (page.has(speed)) return true;
      if (bytes + size > limit) return false;
      bytes += size;
      page.add(speed);
      return true;
    };
    const newest = all.findIndex((known) =>
      !add(known, PAGE_BYTES * NEWEST_SHARE)
    );
    if (newest === -1) return [...page];
    const start = this.#cursor % all.length;
    const older = [...all.slice(start), ...all.slice(0, start)];
    const added = older.findIndex((known) => !add(known, PAGE_BYTES));
    this.#cursor = added === -1 ? 0 : start + added;
    return [...page];
  }

  /** Merges another daemon's page; returns the speeds that changed. */
  merge(
    page: readonly LearnedSpeed[],
    now: number,
  ): readonly LearnedSpeed[] {
    return page.filter((speed) => this.#merge(speed, now));
  }

  #merge(speed: LearnedSpeed, now: number): boolean {
    const [id] = speed;
    const known = this.#known.get(id);
    if (known !== undefined && !isLater(speed, known.speed)) return false;
    if (known !== undefined) this.#remove(known.speed);
    const bytes = Buffer.byteLength(JSON.stringify(speed)) + 1;
    this.#known.set(id, { speed, bytes, changedAt: now });
    this.#checksum = (this.#checksum + hashSpeed(speed)) >>> 0;
    return !this.#removeExcess(id);
  }

  /** Removes the endpoint that started first; returns whether it is `id`. */
  #removeExcess(id: string): boolean {
    if (this.#known.size <= MAXIMUM_SPEEDS) return false;
    const first = [...this.#known.values()].map(({ speed }) => speed)
      .reduce((left, right) => startedBefore(right, left) ? right : left);
    this.#remove(first);
    return first[0] === id;
  }

  #remove(speed: LearnedSpeed): void {
    this.#known.delete(speed[0]);
    this.#checksum = (this.#checksum - hashSpeed(speed)) >>> 0;
  }
}

function hashSpeed(speed: LearnedSpeed): number {
  return hashText(speed.join(" "));
}

function isLater(left: LearnedSpeed, right: LearnedSpeed): boolean {
  const [, leftBornAt, leftLevel, leftRevision] = left;
  const [, rightBornAt, rightLevel, rightRevision] = right;
  if (leftBornAt !== rightBornAt) return leftBornAt > rightBornAt;
  if (leftRevision !== rightRevision) return leftRevision > rightRevision;
  return leftLevel < rightLevel;
}

function startedBefore(left: LearnedSpeed, right: LearnedSpeed): boolean {
  return left[1] === right[1] ? left[0] < right[0] : left[1] < right[1];
}
