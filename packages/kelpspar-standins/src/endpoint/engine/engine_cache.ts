import type {
  CacheEventPage,
  CacheSnapshot,
  RandomSource,
  StageCall,
  TimerService,
} from "kelpspar-shared";
import type { EngineSettings } from "../endpoint_settings.ts";
import type { CachedPrefix } from "./prefix_cache.ts";
import { CacheEventLog } from "./cache_event_log.ts";
import { countTokens } from "./count_tokens.ts";
import { PrefixCache } from "./prefix_cache.ts";

/** Settings and dependencies of an engine's cache. */
export interface EngineCacheOptions {
  readonly settings: EngineSettings;
  readonly incarnation: string;
  readonly timer: TimerService;
  readonly random: RandomSource;
}

/** An engine's prefix cache and its event log. */
export class EngineCache {
  readonly #incarnation: string;
  readonly #prefixShare: number;
  readonly #prefixes: PrefixCache;
  readonly #events: CacheEventLog;

  constructor(options: EngineCacheOptions) {
    const { settings, incarnation } = options;
    this.#incarnation = incarnation;
    this.#prefixShare = settings.prefixShare;
    this.#events = new CacheEventLog({
      incarnation,
      timer: options.timer,
      random: options.random,
      delayMilliseconds: settings.eventDelayMilliseconds,
      gapShare: settings.eventGapShare,
    });
    this.#prefixes = new PrefixCache({
      limitTokens: settings.cacheTokens,
      onChange: (type, prefixHash) => this.#events.add(type, prefixHash),
    });
  }

  /** Caches a call's prefix; returns the tokens that need no prefill. */
  reusePrefix({ prefixHash, input }: StageCall): number {
    if (prefixHash === undefined) return 0;
    const tokens = Math.floor(countTokens(input) * this.#prefixShare);
    const cached = Math.min(this.#prefixes.touch(prefixHash), tokens);
    this.#prefixes.store({ prefixHash, tokens });
    return cached;
  }

  /** Exports the KV cache of a prefix; undefined when it is not cached. */
  export(prefixHash: string): CachedPrefix | undefined {
    return this.#prefixes.get(prefixHash);
  }

  /** Imports the KV cache of a prefix. */
  import(cached: CachedPrefix): void {
    this.#prefixes.store(cached);
  }

  eventsAfter(sequence: number): CacheEventPage {
    return this.#events.page(sequence);
  }

  get snapshot(): CacheSnapshot {
    return {
      incarnation: this.#incarnation,
      prefixHashes: this.#prefixes.prefixHashes,
      lastSequence: this.#events.sequence,
    };
  }
}
