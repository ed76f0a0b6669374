import type { RandomSource } from "kelpspar-shared";

const DEFAULT_PEERS_TO_ASK = 3;
const DEFAULT_PATIENCE_MILLISECONDS = 1_500;

/** What the table or a peer says when a daemon boots. */
export type BootAnswer =
  | {
    readonly type: "revision";
    readonly revision: number;
    readonly changeId: string;
    /** The highest revision it knows of, when it lacks the content. */
    readonly highestKnown?: number;
  }
  /** It has no configuration. From the table: none was ever accepted. */
  | { readonly type: "empty" }
  | { readonly type: "failed" };

/** What was asked and what was answered so far. */
export interface BootSurvey {
  /** Undefined while the table has not answered. */
  readonly table: BootAnswer | undefined;
  /** Every peer that was asked; undefined while it has not answered. */
  readonly peers: ReadonlyMap<string, BootAnswer | undefined>;
  /** Since the first question, milliseconds. */
  readonly elapsedMilliseconds: number;
}

/** How a daemon chooses at boot. */
export interface BootChoiceOptions {
  /** Peers whose answers are enough without the table; default 3. */
  readonly peersToAsk?: number;
  /** How long to wait for more answers, milliseconds; default 1,500. */
  readonly patienceMilliseconds?: number;
}

/** What a booting daemon does next. */
export type BootChoice =
  | { readonly type: "wait" }
  | {
    readonly type: "start";
    /** Who has the content: `table` or a peer's name. */
    readonly from: string;
    readonly revision: number;
    readonly changeId: string;
    /** The highest revision that any answer proved. */
    readonly highestKnown: number;
  }
  /** No revision was ever accepted: run without one and watch the table. */
  | { readonly type: "start_empty" }
  /** Nobody knows: take no requests, and ask again after a jittered wait. */
  | { readonly type: "ask_again" };

/** The name of the table among the answers. */
export const TABLE_AS_PROVER = "table";

/**
 * Chooses the revision to start from: the highest that was answered.
 *
 * What goes wrong without it: a daemon without a disk boots while the store is
 * down, meets one peer that was cut off and starts from an old revision. So
 * several peers are asked, of different availability zones. The table's answer
 * alone is enough, since it is where revisions are accepted. Without it the
 * daemon starts once enough peers answered, or after its patience if at least
 * one did. A revision that no answering peer has heard of can't be known then;
 * the daemon moves up as soon as it hears of it.
 */
export function chooseBootRevision(
  survey: BootSurvey,
  options: BootChoiceOptions = {},
): BootChoice {
  const {
    peersToAsk = DEFAULT_PEERS_TO_ASK,
    patienceMilliseconds = DEFAULT_PATIENCE_MILLISECONDS,
  } = options;
  const best = findHighest(survey);
  const { table, elapsedMilliseconds } = survey;
  const isTableSure = table !== undefined && table.type !== "failed";
  if (isTableSure) return best ?? { type: "start_empty" };
  const answers = [...survey.peers.values()];
  const usable = answers.filter((answer) => answer?.type === "revision");
  if (best !== undefined && usable.length >= peersToAsk) return best;
  const isOpen = table === undefined || answers.includes(undefined);
  if (isOpen && elapsedMilliseconds < patienceMilliseconds) {
    return { type: "wait" };
  }
  return best ?? { type: "ask_again" };
}

/** Picks peers to ask at boot: of as many availability zones as there are. */
export function pickBootPeers(
  peers: readonly {
    readonly name: string;
    readonly availabilityZone: string;
  }[],
  options: { readonly random: RandomSource; readonly count?: number },
): readonly string[] {
  const { random, count = DEFAULT_PEERS_TO_ASK } = options;
  const shuffled = peers.map((peer) => ({ peer, order: random.next() }))
    .sort((left, right) => left.order - right.order);
  const seen = new Map<string, number>();
  const ranked = shuffled.map(({ peer }) => {
    const round = seen.get(peer.availabilityZone) ?? 0;
    seen.set(peer.availabilityZone, round + 1);
    return { name: peer.name, round };
  });
  ranked.sort((left, right) => left.round - right.round);
  return ranked.slice(0, count).map(({ name }) => name);
}

function findHighest(
  survey: BootSurvey,
): Extract<BootChoice, { readonly type: "start" }> | undefined {
  const { table } = survey;
  const answers = [[TABLE_AS_PROVER, table] as const, ...survey.peers];
  let best: { from: string; revision: number; changeId: string } | undefined;
  let highestKnown = 0;
  for (const [from, answer] of answers) {
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
