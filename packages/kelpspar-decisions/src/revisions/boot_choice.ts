import type { RandomSource } from "kelpspar-shared";

const DEFAULT_PEERS_TO_QUERY = 3;
const DEFAULT_ANSWER_TIMEOUT_MILLISECONDS = 1_500;

/** Answer of the table or a peer to a booting daemon. */
export type BootAnswer =
  | {
    readonly type: "revision";
    readonly revision: number;
    readonly changeId: string;
    /**
     * Highest revision known to the answerer, if it lacks the content of that
     * revision.
     */
    readonly highestKnown?: number;
  }
  /** No configuration. From the table: no revision was ever accepted. */
  | { readonly type: "empty" }
  | { readonly type: "failed" };

/** Queries sent by a booting daemon and the answers so far. */
export interface BootAnswers {
  /** Answer of the table; undefined before it arrives. */
  readonly table: BootAnswer | undefined;
  /** Every queried peer; undefined before its answer arrives. */
  readonly peers: ReadonlyMap<string, BootAnswer | undefined>;
  /** Time since the first query, milliseconds. */
  readonly elapsedMilliseconds: number;
}

/** Options of `chooseBootRevision`. */
export interface BootChoiceOptions {
  /** Number of peer answers that suffice without the table; default 3. */
  readonly peersToQuery?: number;
  /** Time to wait for further answers, milliseconds; default 1,500. */
  readonly answerTimeoutMilliseconds?: number;
}

/** Next step of a booting daemon. */
export type BootChoice =
  | { readonly type: "wait" }
  | {
    readonly type: "start";
    /** Source of the content: `table` or a peer's name. */
    readonly from: string;
    readonly revision: number;
    readonly changeId: string;
    /** Highest revision mentioned by any answer. */
    readonly highestKnown: number;
  }
  /** No revision was ever accepted: run without one and poll the table. */
  | { readonly type: "start_empty" }
  /**
   * No usable answer: accept no requests and query again after a jittered wait.
   */
  | { readonly type: "ask_again" };

/** Name of the table among the sources. */
export const TABLE_AS_SOURCE = "table";

/**
 * Chooses the revision to start from: the highest one among the answers.
 *
 * Guards against a daemon without a disk that boots during a store outage,
 * reaches one peer that was partitioned and starts from an old revision.
 * Several peers in different availability zones are therefore queried. The
 * table's answer alone suffices, because revisions are accepted there. Without
 * it, the daemon starts once enough peers have answered, or after the answer
 * timeout if at least one has. A revision unknown to all answering peers can't
 * be detected at that point; the daemon upgrades as soon as a peer announces
 * it.
 */
export function chooseBootRevision(
  answers: BootAnswers,
  options: BootChoiceOptions = {},
): BootChoice {
  const {
    peersToQuery = DEFAULT_PEERS_TO_QUERY,
    answerTimeoutMilliseconds = DEFAULT_ANSWER_TIMEOUT_MILLISECONDS,
  } = options;
  const best = findHighest(answers);
  const { table, elapsedMilliseconds } = answers;
  const hasTableAnswer = table !== undefined && table.type !== "failed";
  if (hasTableAnswer) return best ?? { type: "start_empty" };
  const received = [...answers.peers.values()];
  const usable = received.filter((answer) => answer?.type === "revision");
  if (best !== undefined && usable.length >= peersToQuery) return best;
  const isAnswerPending = table === undefined || received.includes(undefined);
  if (isAnswerPending && elapsedMilliseconds < answerTimeoutMilliseconds) {
    return { type: "wait" };
  }
  return best ?? { type: "ask_again" };
}

/**
 * Selects peers to query at boot, from as many availability zones as possible.
 */
export function selectBootPeers(
  peers: readonly {
    readonly name: string;
    readonly availabilityZone: string;
  }[],
  options: { readonly random: RandomSource; readonly count?: number },
): readonly string[] {
  const { random, count = DEFAULT_PEERS_TO_QUERY } = options;
  const shuffled = peers.map((peer) => ({ peer, order: random.next() }))
    .sort((left, right) => left.order - right.order);
  const pickedPerZone = new Map<string, number>();
  const ranked = shuffled.map(({ peer }) => {
    const round = pickedPerZone.get(peer.availabilityZone) ?? 0;
    pickedPerZone.set(peer.availabilityZone, round + 1);
    return { name: peer.name, round };
  });
  ranked.sort((left, right) => left.round - right.round);
  return ranked.slice(0, count).map(({ name }) => name);
}

function findHighest(
  answers: BootAnswers,
): Extract<BootChoice, { readonly type: "start" }> | undefined {
  const { table } = answers;
  const received = [[TABLE_AS_SOURCE, table] as const, ...answers.peers];
  let best: { from: string; revision: number; changeId: string } | undefined;
  let highestKnown = 0;
  for (const [from, answer] of received) {
    if (answer?.type !== "revision") continue;
    const { revision, changeId } = answer;
    highestKnown = Math.max(highestKnown, revision, answer.highestKnown ?? 0);
    if (best !== undefined && revision <= best.revision) continue;
    best = { from, revision, changeId };
  }
  return best === undefined
    ? undefined
    : { type: "start", ...best, highestKnown };
}
