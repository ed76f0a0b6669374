import type { TimerService } from "kelpspar-shared";
import type { PeerConnection, PeerConnections } from "kelpspar-peers";

/** A connection on which a call is overdue. */
interface OverdueConnection<Client> {
  readonly peer: string;
  readonly connection: PeerConnection<Client>;
}

/**
 * Time that an overdue answer is given after an answer on a newer connection,
 * because a busy peer answers on both at about the same time.
 */
const OVERDUE_GRACE_MILLISECONDS = 250;
/** An overdue connection is destroyed after this time in any case. */
const MAXIMUM_OVERDUE_MILLISECONDS = 20_000;

/**
 * Distinguishes dead connections from busy peers.
 *
 * Destroying a connection at the first overdue call would abort the chains of
 * stages that run over it and send them again to a coordinator that is already
 * overloaded; the log then shows a burst of `coordinator lost … The client is
 * destroyed`. Therefore an overdue connection is only closed to new calls. It
 * is destroyed when the peer has answered on a newer connection but still not
 * on this one.
 */
export class SilentConnectionDetector<Client> {
  readonly #connections: PeerConnections<Client>;
  readonly #timer: TimerService;
  readonly #stale = new Set<OverdueConnection<Client>>();

  constructor(connections: PeerConnections<Client>, timer: TimerService) {
    this.#connections = connections;
    this.#timer = timer;
  }

  /** Records that a call is overdue; its `answer` may still arrive. */
  reportOverdueCall(
    peer: string,
    connection: PeerConnection<Client>,
    answer: Promise<unknown>,
  ): void {
    this.#connections.retire(peer, connection);
    const entry = { peer, connection };
    this.#stale.add(entry);
    const stopTimer = this.#timer.registerTimeout(
      () => this.#destroy(entry),
      MAXIMUM_OVERDUE_MILLISECONDS,
    );
    const settled = (): void => {
      stopTimer();
      if (this.#stale.delete(entry)) this.#connections.closeRetired(connection);
    };
    answer.then(settled, settled);
  }

  /** Records that a peer answered on `connection`. */
  reportAnswer(peer: string, connection: PeerConnection<Client>): void {
    const others = [...this.#stale].filter((entry) =>
      entry.peer === peer && entry.connection !== connection
    );
    if (others.length === 0) return;
    this.#timer.registerTimeout(() => {
      for (const entry of others) this.#destroy(entry);
    }, OVERDUE_GRACE_MILLISECONDS);
  }

  #destroy(entry: OverdueConnection<Client>): void {
    if (!this.#stale.delete(entry)) return;
    this.#connections.drop(entry.peer, entry.connection);
  }
}
