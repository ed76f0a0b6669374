import type { CrashReport } from "../../quarantine/mod.ts";
import { SeededRandom } from "kelpspar-shared";
import {
  CrashLedger,
  MINIMUM_SOUND_MILLISECONDS,
} from "../../quarantine/mod.ts";
import { EventQueue } from "./event_queue.ts";

const MINUTE_MILLISECONDS = 60_000;
const DOWN_MILLISECONDS = 2_500;
const SHORTEST_BAD_MILLISECONDS = 30;
const SHORTEST_ANSWER_MILLISECONDS = 200;
const LONGEST_ANSWER_MILLISECONDS = 4_200;
/** Crashes after which all daemons know a bad part, by the platform's rule. */
const KNOWN_CRASHES = 5;
/** The platform's rule: time until all daemons know of a crash. */
const CONTACT_MILLISECONDS = 3_000;
/** Answers of which a common part is in ten. */
const LATEST_ANSWERS = 100;
const COMMON_ANSWERS = 10;
const BAD_FROM_MILLISECONDS = 20_000;
const LONGEST_BAD_MILLISECONDS = 160;
const SOFTWARE = "model v1";
/** Parts that each request has. */
const COMMON_PARTS = 4;
/** Sessions whose requests have the same last part. */
const SESSIONS = 200;
const RETRY_SHARE = 0.5;
const RETRY_MILLISECONDS = 300;

/** How endpoints end by chance. */
export type ChanceCrashes =
  | "single"
  /** Two to four endpoints within 50 ms. */
  | "grouped"
  /** A third of the endpoints within 50 ms, every 20 s. */
  | "zone"
  /** All endpoints one after the other, each 1.5 s. */
  | "release";

/** A load and its crashes. */
export interface PartReplayOptions {
  readonly seed: number;
  readonly endpoints: number;
  readonly requestsPerSecond: number;
  /** Parts whose frequencies follow Zipf's law. */
  readonly parts: number;
  readonly chanceCrashes: ChanceCrashes;
  /** Chance crashes per second, if they are single or grouped. */
  readonly crashesPerSecond: number;
  /** Time until all daemons know of a report or an answer. */
  readonly propagationMilliseconds: number;
  /** Interval of requests with a part that crashes endpoints, if any. */
  readonly badIntervalMilliseconds?: number;
  /** Longest time for which their answers write before the crash. */
  readonly longestBadMilliseconds?: number;
  /** The shortest one; default 30 ms. */
  readonly shortestBadMilliseconds?: number;
  /** Whether endpoints crash before the head of a bad answer; default false. */
  readonly hasNoHead?: boolean;
  /** Share of the sound requests with the bad part before it is bad; default 0. */
  readonly soundShare?: number;
  /** Times that sound answers take, milliseconds; default 0.2 to 4.2 s. */
  readonly shortestAnswerMilliseconds?: number;
  readonly longestAnswerMilliseconds?: number;
  /** Whether reports name common and sound parts; default false. */
  readonly areReportsDescribed?: boolean;
}

/** What a replayed minute showed. */
export interface PartReplayResult {
  /** Sound requests that were refused. */
  readonly heldSound: number;
  readonly sound: number;
  /** Endpoints that the bad part crashed. */
  readonly badCrashes: number;
  /** Bad requests that reached an endpoint over 1 s after the third crash. */
  readonly lateBad: number;
  /** Those that did over 3 s after the fifth crash. */
  readonly lateByRule: number;
}

interface Prompt {
  readonly fingerprint: string;
  readonly parts: readonly string[];
  readonly isBad: boolean;
}

interface RunningAnswer {
  readonly prompt: Prompt;
  readonly sentAt: number;
  readonly beganAt: number;
  readonly endsAt: number;
}

interface ReplayedEndpoint {
  incarnation: number;
  downUntil: number;
  answers: RunningAnswer[];
}

type ReplayEvent =
  | { readonly type: "arrival"; readonly prompt: Prompt }
  | { readonly type: "next_sound" | "next_bad" | "next_chance" }
  | { readonly type: "crash"; readonly endpoint: number; readonly life: number }
  | {
    readonly type: "answered";
    readonly endpoint: number;
    readonly life: number;
    readonly answer: RunningAnswer;
    /** Undefined once the answer has ended whole. */
    readonly wroteMilliseconds: number | undefined;
  }
  | { readonly type: "act"; readonly act: (now: number) => void };

/** Replays one minute of a fleet whose daemons share all reports. */
export function replayParts(options: PartReplayOptions): PartReplayResult {
  return new PartReplay(options).run();
}

class PartReplay {
  readonly #options: PartReplayOptions;
  readonly #random: SeededRandom;
  readonly #ledger = new CrashLedger();
  readonly #events = new EventQueue<ReplayEvent>();
  readonly #endpoints: ReplayedEndpoint[];
  readonly #cumulativeShares: readonly number[];
  readonly #badCrashes: number[] = [];
  readonly #latestAnswers: (readonly string[])[] = [];
  readonly #soundParts = new Set<string>();
  #lateBad = 0;
  #lateByRule = 0;
  #heldSound = 0;
  #sound = 0;
  #nextNumber = 0;

  constructor(options: PartReplayOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    this.#endpoints = Array.from(
      { length: options.endpoints },
      () => ({ incarnation: 0, downUntil: 0, answers: [] }),
    );
    let sum = 0;
    this.#cumulativeShares = Array.from(
      { length: options.parts },
      (_, rank) => sum += 1 / (rank + 1),
    );
  }

  run(): PartReplayResult {
    this.#events.push(0, { type: "next_sound" });
    this.#events.push(0, { type: "next_chance" });
    if (this.#options.badIntervalMilliseconds !== undefined) {
      this.#events.push(BAD_FROM_MILLISECONDS, { type: "next_bad" });
    }
    for (;;) {
      const next = this.#events.pop();
      if (next === undefined || next.at >= MINUTE_MILLISECONDS) break;
      this.#handle(next.value, next.at);
    }
    return {
      heldSound: this.#heldSound,
      sound: this.#sound,
      badCrashes: this.#badCrashes.length,
      lateBad: this.#lateBad,
      lateByRule: this.#lateByRule,
    };
  }

  #handle(event: ReplayEvent, now: number): void {
    switch (event.type) {
      case "next_sound":
        this.#events.push(
          now + this.#interval(this.#options.requestsPerSecond),
          event,
        );
        return this.#arrive(this.#createSound(now), now);
      case "next_bad":
        this.#events.push(
          now + (this.#options.badIntervalMilliseconds ?? 0),
          event,
        );
        return this.#arrive(this.#createBad(now), now);
      case "next_chance":
        return this.#crashByChance(now);
      case "arrival":
        return this.#arrive(event.prompt, now);
      case "crash":
        return this.#crash(event, now);
      case "answered":
        return this.#answer(event, now);
      case "act":
        return event.act(now);
    }
  }

  #interval(perSecond: number): number {
    return -Math.log(1 - this.#random.next()) * 1_000 / perSecond;
  }

  #createSound(now: number): Prompt {
    const common = Array.from({ length: COMMON_PARTS }, (_, at) => `all${at}`);
    const parts = [...common, this.#drawPart(), this.#drawPart()];
    const fingerprint = `f${this.#nextNumber++}`;
    // Sessions come again: their last part is left out like any other.
    this.#random.nextInteger(SESSIONS);
    const { soundShare = 0 } = this.#options;
    const hasBadPart = soundShare > 0 && now < BAD_FROM_MILLISECONDS &&
      this.#random.next() < soundShare;
    if (hasBadPart) parts.push("bad");
    return { fingerprint, parts, isBad: false };
  }

  #createBad(now: number): Prompt {
    const { parts } = this.#createSound(now);
    const fingerprint = `bad${this.#nextNumber++}`;
    return { fingerprint, parts: [...parts, "bad"], isBad: true };
  }

  #drawPart(): string {
    const total = this.#cumulativeShares.at(-1) ?? 1;
    const draw = this.#random.next() * total;
    return `p${this.#cumulativeShares.findIndex((sum) => sum >= draw)}`;
  }

  #arrive(prompt: Prompt, now: number): void {
    if (!prompt.isBad) this.#sound++;
    const isHeld = this.#ledger.crashingParts.some((cause) =>
      cause.enforcedFrom <= now &&
      cause.parts.every((part) => prompt.parts.includes(part))
    );
    if (isHeld) {
      if (!prompt.isBad) this.#heldSound++;
      return;
    }
    const up = this.#endpoints.flatMap((endpoint, index) =>
      endpoint.downUntil <= now ? [index] : []
    );
    const index = up[this.#random.nextInteger(Math.max(1, up.length))];
    const endpoint = index === undefined ? undefined : this.#endpoints[index];
    if (index === undefined || endpoint === undefined) return;
    const beganAt = now + 60 + this.#random.next() * 500;
    const life = endpoint.incarnation;
    let crashesAt = Number.NEGATIVE_INFINITY;
    if (prompt.isBad) {
      const third = this.#badCrashes[2];
      if (third !== undefined && now > third + 1_000) this.#lateBad++;
      const fifth = this.#badCrashes[KNOWN_CRASHES - 1];
      const isLate = fifth !== undefined && now > fifth + CONTACT_MILLISECONDS;
      if (isLate) this.#lateByRule++;
      const {
        longestBadMilliseconds = LONGEST_BAD_MILLISECONDS,
        shortestBadMilliseconds = SHORTEST_BAD_MILLISECONDS,
      } = this.#options;
      const range = longestBadMilliseconds - shortestBadMilliseconds;
      crashesAt = this.#options.hasNoHead === true
        ? beganAt - 1
        : beganAt + shortestBadMilliseconds + this.#random.next() * range;
      this.#events.push(crashesAt, { type: "crash", endpoint: index, life });
    }
    const {
      shortestAnswerMilliseconds: shortest = SHORTEST_ANSWER_MILLISECONDS,
      longestAnswerMilliseconds: longest = LONGEST_ANSWER_MILLISECONDS,
    } = this.#options;
    const answer = {
      prompt,
      sentAt: now,
      beganAt,
      // No answer on a bad part ends whole.
      endsAt: Math.max(
        beganAt + shortest + this.#random.next() * (longest - shortest),
        crashesAt + 1,
      ),
    };
    endpoint.answers.push(answer);
    const answered = (at: number, wroteMilliseconds?: number): void =>
      this.#events.push(at, {
        type: "answered",
        endpoint: index,
        life,
        answer,
        wroteMilliseconds,
      });
    let wrote = MINIMUM_SOUND_MILLISECONDS;
    for (; beganAt + wrote < answer.endsAt; wrote *= 2) {
      answered(beganAt + wrote, wrote);
    }
    answered(answer.endsAt);
  }

  #answer(
    event: Extract<ReplayEvent, { type: "answered" }>,
    now: number,
  ): void {
    const { endpoint, life, answer, wroteMilliseconds } = event;
    const isAlive = this.#endpoints[endpoint]?.incarnation === life;
    if (isAlive && wroteMilliseconds === undefined) this.#remember(answer);
    if (!isAlive || !this.#ledger.hasSuspectParts) return;
    const { prompt: { parts, fingerprint }, beganAt } = answer;
    const id = { fingerprint, crash: `${endpoint} ${life}` };
    this.#later(now, (at) => {
      this.#ledger.clearParts(
        { parts, software: SOFTWARE, beganAt, wroteMilliseconds, id },
        at,
      );
    });
  }

  #crashByChance(now: number): void {
    const { chanceCrashes, crashesPerSecond, endpoints } = this.#options;
    const handlers: Readonly<Record<ChanceCrashes, () => number>> = {
      single: () => {
        this.#crashSome(1, now);
        return this.#interval(crashesPerSecond);
      },
      grouped: () => {
        const count = 2 + this.#random.nextInteger(3);
        this.#crashSome(count, now);
        return this.#interval(crashesPerSecond / count);
      },
      zone: () => {
        this.#crashSome(Math.floor(endpoints / 3), now);
        return 20_000;
      },
      release: () => {
        const index = Math.floor(now / 1_500) % endpoints;
        this.#crashAt(index, now);
        return 1_500;
      },
    };
    const wait = now === 0 ? 500 : handlers[chanceCrashes]();
    this.#events.push(now + wait, { type: "next_chance" });
  }

  #crashSome(count: number, now: number): void {
    for (let crashes = 0; crashes < count; crashes++) {
      const index = this.#random.nextInteger(this.#endpoints.length);
      this.#crashAt(index, now + this.#random.next() * 50);
    }
  }

  #crashAt(endpoint: number, at: number): void {
    const life = this.#endpoints[endpoint]?.incarnation ?? 0;
    this.#events.push(at, { type: "crash", endpoint, life });
  }

  #crash(
    { endpoint: index, life }: Extract<ReplayEvent, { type: "crash" }>,
    now: number,
  ): void {
    const endpoint = this.#endpoints[index];
    if (endpoint === undefined || endpoint.incarnation !== life) return;
    if (endpoint.downUntil > now) return;
    const crash = `${index} ${life}`;
    const cut = endpoint.answers.filter(({ endsAt }) => endsAt > now);
    endpoint.answers = [];
    endpoint.incarnation++;
    endpoint.downUntil = now + DOWN_MILLISECONDS;
    const hasBegun = ({ beganAt }: RunningAnswer): boolean =>
      beganAt <= now || this.#options.hasNoHead === true;
    if (cut.some((answer) => answer.prompt.isBad && hasBegun(answer))) {
      this.#badCrashes.push(now);
    }
    for (const { prompt, beganAt, sentAt } of cut) {
      const ran = beganAt <= now ? now - beganAt : undefined;
      const report = {
        fingerprint: prompt.fingerprint,
        crash,
        ranMilliseconds: ran,
        wroteMilliseconds: ran,
        ...(ran === undefined ? { waitedMilliseconds: now - sentAt } : {}),
        ...this.#describe(prompt.parts),
        parts: prompt.parts,
        software: SOFTWARE,
      };
      this.#later(now, (at) => void this.#ledger.report(report, at, now));
      if (prompt.isBad || this.#random.next() >= RETRY_SHARE) continue;
      this.#events.push(now + RETRY_MILLISECONDS, { type: "arrival", prompt });
    }
  }

  #remember({ prompt: { parts } }: RunningAnswer): void {
    for (const part of parts) this.#soundParts.add(part);
    this.#latestAnswers.push(parts);
    if (this.#latestAnswers.length > LATEST_ANSWERS) {
      this.#latestAnswers.shift();
    }
  }

  /** What daemons know of parts before endpoints crash on them. */
  #describe(
    parts: readonly string[],
  ): Pick<CrashReport, "commonParts" | "soundParts"> {
    if (this.#options.areReportsDescribed !== true) return {};
    const countOf = (part: string): number =>
      this.#latestAnswers.filter((answer) => answer.includes(part)).length;
    return {
      commonParts: parts.filter((part) => countOf(part) >= COMMON_ANSWERS),
      soundParts: parts.filter((part) => this.#soundParts.has(part)),
    };
  }

  #later(now: number, act: (now: number) => void): void {
    const { propagationMilliseconds } = this.#options;
    this.#events.push(now + propagationMilliseconds, { type: "act", act });
  }
}
