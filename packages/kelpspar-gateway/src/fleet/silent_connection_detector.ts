import type { TimerService } from "kelpspar-shared";
import type { PeerConnection, PeerConnections } from "kelpspar-peers";

/** A connection on which a call is overdue. */
interface OverdueConnection<Client> {
  readonly peer: string;
  readonly connection: PeerConnection<Client>;
}

/**
 * An overdue answer gets this long once a newer connection was answered, ms:
 * a busy peer answers both at about the same time.
 */
const GRACE_MILLISECONDS = 250;
/** Beyond this an overdue call is not waited for, milliseconds. */
const LONGEST_MILLISECONDS = 20_000;

/**
 * Tells connections that fell silent for good from peers that are busy.
 *
 * What goes wrong: destroying a connection at the first overdue call ends the
 * chains of stages that run over it; they are asked for once more, of a
 * coordinator that was late since it had too much to do. It shows as
 * `coordinator lost … The client is destroyed` in a burst. So an overdue
 * connection only takes no more calls. It is destroyed when the peer has
 * answered on a newer one, and still not on it.
 */
export class SilentConnections<Client> {
  readonly #connections: PeerConnections<Client>;
  readonly #timer: TimerService;
  readonly #overdue = new Set<OverdueConnection<Client>>();

  constructor(connections: PeerConnections<Client>, timer: TimerService) {
    this.#connections = connections;
    this.#timer = timer;
  }

  /** Takes in that a call is overdue whose `answer` may still come. */
  overdue(
    peer: string,
    connection: PeerConnection<Client>,
    answer: Promise<unknown>,
  ): void {
    this.#connections.retire(peer, connection);
    const one = { peer, connection };
    this.#overdue.add(one);
    const stopTimer = this.#timer.registerTimeout(
      () => this.#destroy(one),
      LONGEST_MILLISECONDS,
    );
    const settled = (): void => {
      stopTimer();
      if (this.#overdue.delete(one)) this.#connections.closeRetired(connection);
    };
    answer.then(settled, settled);
  }

  /** Takes in that a peer answered. */
  answered(peer: string, connection: PeerConnection<Client>): void {
    const others = [...this.#overdue].filter((one) =>
      one.peer === peer && one.connection !== connection
    );
    if (others.length === 0) return;
    this.#timer.registerTimeout(() => {
      for (const one of others) this.#destroy(one);
    }, GRACE_MILLISECONDS);
  }

  #destroy(one: OverdueConnection<Client>): void {
    if (!this.#overdue.delete(one)) return;
    this.#connections.drop(one.peer, one.connection);
  }
}
