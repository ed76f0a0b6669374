import type { TimerService } from "kelpspar-shared";
import type { DaemonAddress } from "../fleet/fleet_digest.ts";
import type { FleetMembership } from "../fleet/fleet_membership.ts";
import type { PeerClient } from "../fleet/peer_client.ts";
import type { OriginAnswer } from "./origin_answer.ts";
import type { SoftwareCandidates, StreamRoute } from "./software_candidates.ts";
import type { StreamRecorder } from "./stream_recorder.ts";
import type { VersionTable } from "./version_table.ts";
import { collectAnswers } from "./collect_answers.ts";

/** Daemons that are asked for a stream; more than tell each other of it. */
const ASKED_DAEMONS = 8;
/** Time after which a stream that nobody has found counts as unknown. */
const ASK_TIMEOUT_MILLISECONDS = 150;
/** Share of the known daemons that must answer if no list is recent. */
const AGREEING_SHARE = 0.5;

/** A stream, by the attempt that brought its first event. */
export interface FindOptions extends StreamRoute {
  readonly attemptId: string;
}

/** What other daemons and the store answered about a stream. */
export interface SearchResult extends OriginAnswer {
  /** Number of daemons that were asked. */
  readonly asked: number;
}

/** Dependencies of an `OriginSearch`. */
export interface OriginSearchOptions {
  readonly candidates: SoftwareCandidates;
  readonly versions: Pick<VersionTable, "whenRead">;
  readonly recorder: Pick<StreamRecorder, "find">;
  readonly peers: Pick<PeerClient, "askOrigin">;
  readonly membership: Pick<FleetMembership, "contacts">;
  /** Live daemons, those first that remember the stream. */
  readonly rank: (attemptId: string) => readonly DaemonAddress[];
  readonly timer: TimerService;
}

/** Asks other daemons and the store which software began a stream. */
export class OriginSearch {
  readonly #options: OriginSearchOptions;

  constructor(options: OriginSearchOptions) {
    this.#options = options;
  }

  /** Ends after `ASK_TIMEOUT_MILLISECONDS` at the latest. Never rejects. */
  async search(options: FindOptions): Promise<SearchResult> {
    const { candidates, rank, timer } = this.#options;
    const daemons = rank(options.attemptId).slice(0, ASKED_DAEMONS);
    const peerAnswers: OriginAnswer[] = [];
    const answers = await collectAnswers<OriginAnswer>(
      [
        ...this.#askStore(options.attemptId),
        ...daemons.map(async ({ peer }) => {
          const answer = await this.#options.peers.askOrigin(peer, options);
          peerAnswers.push(answer);
          return answer;
        }),
      ],
      {
        isEnough: (received) => received.some(hasOrigin),
        timeoutMilliseconds: ASK_TIMEOUT_MILLISECONDS,
        timer,
      },
    );
    return {
      origin: answers.find(hasOrigin)?.origin,
      recent: answers.flatMap(({ recent }) => recent),
      isComplete: candidates.isCompleteWithoutRecord(options) ||
        answers.some(({ isComplete }) => isComplete === true) ||
        (candidates.wasRead(options) && this.#isMajority(peerAnswers.length)),
      asked: daemons.length,
    };
  }

  #askStore(attemptId: string): readonly Promise<OriginAnswer>[] {
    const { recorder, versions } = this.#options;
    return [
      recorder.find(attemptId).then((origin) => ({ origin, recent: [] })),
      // A daemon that has just started is about to read the versions.
      versions.whenRead().then(() => ({ recent: [] })),
    ];
  }

  /**
   * Whether as many daemons answered as do while all but the store is up. No
   * daemon learns of new software then, unlike beside a part of the fleet that
   * is cut off.
   */
  #isMajority(answered: number): boolean {
    const { membership } = this.#options;
    const expected = Math.min(ASKED_DAEMONS, membership.contacts().length);
    return answered >= expected * AGREEING_SHARE;
  }
}

function hasOrigin({ origin }: OriginAnswer): boolean {
  return origin !== undefined;
}
