import type { RandomSource, TimerService } from "kelpspar-shared";
import type { DaemonAddress } from "../fleet/fleet_digest.ts";
import type { FleetMembership } from "../fleet/fleet_membership.ts";
import type { PeerClient } from "../fleet/peer_client.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { RecordedStream, StreamOrigin } from "./stream_origin.ts";
import type { StreamRowReader } from "./stream_row_reader.ts";
import type { StreamRowWriter } from "./stream_row_writer.ts";
import { hashText } from "kelpspar-decisions/routing";
import { rankRecorders } from "./recorder_rank.ts";
import { STREAM_LIFETIME_MILLISECONDS } from "./recent_members.ts";

/** Time between two messages; streams that begin meanwhile share the second. */
const SEND_INTERVAL_MILLISECONDS = 100;
/** Daemons that remove rows of daemons that have ended. */
const CLEANERS = 2;

/** Dependencies of a `StreamRecorder`. */
export interface StreamRecorderOptions {
  readonly self: DaemonAddress;
  readonly membership: Pick<FleetMembership, "contacts">;
  readonly peers: Pick<PeerClient, "recordStreams" | "findRecorded">;
  readonly writer: Pick<StreamRowWriter, "add" | "removeEndedRows">;
  readonly reader: Pick<StreamRowReader, "find">;
  /** True while daemons may record streams. */
  readonly mayRecord: () => boolean;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: GatewayLog;
}

/**
 * Records begun streams in the store, and finds them there. A few daemons, the
 * recorders, call the store for all, so that it gets fewer calls; one that
 * doesn't reach its recorder calls the store itself.
 */
export class StreamRecorder {
  readonly #options: StreamRecorderOptions;
  #unsent: RecordedStream[] = [];
  /** When the last message was sent, monotonic milliseconds. */
  #sentAt = Number.NEGATIVE_INFINITY;
  #isCleanupDue = false;

  constructor(options: StreamRecorderOptions) {
    this.#options = options;
  }

  /** Place of this daemon among those that write; -1 if it has none. */
  get rank(): number {
    const { daemonId } = this.#options.self;
    return this.#recorders.findIndex((daemon) => daemon.daemonId === daemonId);
  }

  /** Number of daemons that write. */
  get size(): number {
    return this.#recorders.length;
  }

  record(streams: readonly RecordedStream[]): void {
    if (streams.length === 0) return;
    const { writer, timer } = this.#options;
    if (this.rank >= 0) {
      writer.add(streams);
      return;
    }
    if (this.#unsent.length === 0) {
      const nextSendAt = this.#sentAt + SEND_INTERVAL_MILLISECONDS;
      timer.registerTimeout(
        () => this.#send(),
        Math.max(0, nextSendAt - timer.now()),
      );
    }
    this.#unsent.push(...streams);
  }

  /** Undefined if the stream isn't on record; throws if that isn't known. */
  async find(attemptId: string): Promise<StreamOrigin | undefined> {
    const { peers, reader } = this.#options;
    const recorder = this.#recorderFor(attemptId);
    if (recorder === undefined) return await reader.find(attemptId);
    try {
      return await peers.findRecorded(recorder.peer, attemptId);
    } catch {
      return await reader.find(attemptId);
    }
  }

  /** Removes rows that no daemon keeps any more, once their streams ended. */
  scheduleCleanup(): void {
    if (this.#isCleanupDue) return;
    this.#isCleanupDue = true;
    const { timer, random } = this.#options;
    timer.registerTimeout(() => {
      this.#isCleanupDue = false;
      void this.#cleanUp();
    }, STREAM_LIFETIME_MILLISECONDS * (1 + random.next()));
  }

  get #recorders(): readonly DaemonAddress[] {
    const { self, membership } = this.#options;
    return rankRecorders({ self, others: membership.contacts() });
  }

  /** Undefined if this daemon is a recorder itself. */
  #recorderFor(key: string): DaemonAddress | undefined {
    const { daemonId } = this.#options.self;
    const recorders = this.#recorders;
    const isRecorder = recorders.some((daemon) => daemon.daemonId === daemonId);
    return isRecorder ? undefined : recorders[hashText(key) % recorders.length];
  }

  #send(): void {
    const { self, peers, writer, timer } = this.#options;
    this.#sentAt = timer.now();
    const streams = this.#unsent;
    this.#unsent = [];
    const recorder = this.#recorderFor(self.daemonId);
    if (recorder === undefined) {
      writer.add(streams);
      return;
    }
    peers.recordStreams(recorder.peer, streams).catch(() =>
      writer.add(streams)
    );
  }

  async #cleanUp(): Promise<void> {
    const { writer, mayRecord, log } = this.#options;
    const { rank } = this;
    const isCleaner = rank >= 0 && rank < CLEANERS;
    try {
      const remaining = isCleaner ? await writer.removeEndedRows() : 0;
      if (remaining > 0 || mayRecord()) this.scheduleCleanup();
    } catch (error) {
      this.scheduleCleanup();
      log.warn("failed to remove ended streams", {
        reason: error instanceof Error ? error.message : String(error),
      });
    }
  }
}
