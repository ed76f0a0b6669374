import type { TimerService } from "kelpspar-shared";
import type { PeerConnection, PeerConnections } from "kelpspar-peers";

/**
 * Time that an overdue answer is given after an answer on a newer connection,
 * because a busy peer answers on both at about the same time.
 */
const OVERDUE_GRACE_MILLISECONDS = 250;
/** A probe that isn't answered by then tells nothing. */
const PROBE_TIMEOUT_MILLISECONDS = 5_000;
/** Time in which a peer that isn't busy answers a probe. */
const PROMPT_ANSWER_MILLISECONDS = 250;

/** Dependencies of a `SilentConnectionDetector`. */
export interface SilentConnectionDetectorOptions<Client> {
  readonly connections: PeerConnections<Client>;
  readonly timer: TimerService;
  /** Calls a peer; resolves once it has answered. */
  readonly probe: (client: Client) => Promise<unknown>;
}

/** A call to a peer that wasn't answered in time. */
export interface OverdueCall<Client> {
  readonly peer: string;
  readonly connection: PeerConnection<Client>;
  /** Monotonic milliseconds. */
  readonly sentAt: number;
  /** May still arrive. */
  readonly answer: Promise<unknown>;
}

/** A call over a new connection while calls over the present one are overdue. */
interface Probe<Client> {
  readonly suspect: PeerConnection<Client>;
  readonly fresh: PeerConnection<Client>;
  readonly startedAt: number;
  /** Overdue calls sent before the probe that have no answer yet. */
  readonly overdueCalls: Set<Promise<unknown>>;
  readonly ended: Promise<void>;
  readonly end: () => void;
  isAnswered: boolean;
  /** Until when calls wait for the verdict; monotonic milliseconds. */
  verdictBy: number;
}

/**
 * Distinguishes dead connections from busy peers by one probe over a new
 * connection. A connection is replaced if the probe is answered and overdue
 * calls still are not.
 *
 * Replacing it at the first overdue call would abort the chains that run over
 * it, or have a peer that is overloaded accept a new connection for each call.
 */
export class SilentConnectionDetector<Client> {
  readonly #options: SilentConnectionDetectorOptions<Client>;
  readonly #probes = new Map<string, Probe<Client>>();

  constructor(options: SilentConnectionDetectorOptions<Client>) {
    this.#options = options;
  }

  /**
   * Waits until a probe of the peer has told which connection to use, but not
   * for a peer that is busy.
   */
  async waitForVerdict(peer: string): Promise<void> {
    const { timer } = this.#options;
    for (;;) {
      const probe = this.#probes.get(peer);
      if (probe === undefined) return;
      const wait = probe.verdictBy - timer.now();
      if (wait <= 0) return;
      let stopTimer = (): void => {};
      const waited = new Promise<void>((resolve) => {
        stopTimer = timer.registerTimeout(resolve, wait);
      });
      await Promise.race([probe.ended, waited]);
      stopTimer();
    }
  }

  /** Probes the peer, or records another call that awaits the same probe. */
  reportOverdueCall(call: OverdueCall<Client>): void {
    const { peer, connection, sentAt, answer } = call;
    if (this.#options.connections.open(peer) !== connection) return;
    const probe = this.#probes.get(peer) ?? this.#startProbe(peer, connection);
    if (sentAt > probe.startedAt) return;
    probe.overdueCalls.add(answer);
    const settled = (): void => {
      probe.overdueCalls.delete(answer);
      if (probe.overdueCalls.size === 0) this.#discard(peer, probe);
    };
    answer.then(settled, settled);
  }

  #startProbe(
    peer: string,
    suspect: PeerConnection<Client>,
  ): Probe<Client> {
    const { connections, timer } = this.#options;
    let end = (): void => {};
    const ended = new Promise<void>((resolve) => {
      end = resolve;
    });
    const startedAt = timer.now();
    const probe: Probe<Client> = {
      suspect,
      fresh: connections.create(peer),
      startedAt,
      overdueCalls: new Set(),
      ended,
      end,
      isAnswered: false,
      verdictBy: startedAt + PROMPT_ANSWER_MILLISECONDS,
    };
    this.#probes.set(peer, probe);
    const stopTimer = timer.registerTimeout(
      () => this.#discard(peer, probe),
      PROBE_TIMEOUT_MILLISECONDS,
    );
    this.#options.probe(probe.fresh.client).then(
      () => this.#answered(peer, probe),
      () => this.#discard(peer, probe),
    ).finally(stopTimer);
    return probe;
  }

  #answered(peer: string, probe: Probe<Client>): void {
    if (this.#probes.get(peer) !== probe) return;
    const { timer } = this.#options;
    probe.isAnswered = true;
    probe.verdictBy = timer.now() + OVERDUE_GRACE_MILLISECONDS;
    timer.registerTimeout(
      () => this.#replace(peer, probe),
      OVERDUE_GRACE_MILLISECONDS,
    );
  }

  /** Calls in flight over the silent connection fail. */
  #replace(peer: string, probe: Probe<Client>): void {
    if (this.#probes.get(peer) !== probe) return;
    this.#probes.delete(peer);
    const { connections } = this.#options;
    connections.replace(peer, probe.suspect, probe.fresh);
    connections.drop(peer, probe.suspect);
    probe.end();
  }

  /** Keeps the present connection. */
  #discard(peer: string, probe: Probe<Client>): void {
    if (this.#probes.get(peer) !== probe) return;
    this.#probes.delete(peer);
    const { connections } = this.#options;
    if (probe.isAnswered) connections.closeRetired(probe.fresh);
    else connections.drop(peer, probe.fresh);
    probe.end();
  }
}
