import type { ProcessExit } from "../process/running_process.ts";
import type { DaemonProcess } from "../wire/daemon_process.ts";
import type { WireSite } from "../wire/wire_site.ts";
import type { AskedFor } from "./ask_daemon.ts";
import type { CrowdResult } from "./crowd_result.ts";
import type { CrowdSituation } from "./crowd_situation.ts";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";
import { askDaemon } from "./ask_daemon.ts";
import { Crowd } from "./crowd.ts";
import { ProcessWatch } from "./process_watch.ts";

const MILLISECONDS_PER_SECOND = 1_000;
const BYTES_PER_MEGABYTE = 1_024 * 1_024;
/** Time within which daemons serve after their start, and after a crowd. */
const SERVED_MILLISECONDS = 20_000;
const RETRY_MILLISECONDS = 100;
const SERVED_STATUS = 200;

/** Time from SIGTERM until a daemon is killed. */
export const CROWD_GRACE_SECONDS = 8;

/** A daemon and what is seen of it. */
interface WatchedDaemon {
  readonly daemon: DaemonProcess;
  readonly watch: ProcessWatch;
}

/** Plays crowds against daemons once, from their start to the judgement. */
export class CrowdPlay {
  readonly #situation: CrowdSituation;
  readonly #site: WireSite;
  readonly #watched: readonly WatchedDaemon[];
  readonly #crowds: readonly Crowd[];
  readonly #broken: string[] = [];
  /** Daemons that are stopped as planned. */
  readonly #stopping = new Set<DaemonProcess>();
  #isEnded = false;
  /** Resolves when a process exits that nobody stopped. */
  readonly #unplannedExit: Promise<void>;
  #reportExit = (): void => {};

  constructor(
    situation: CrowdSituation,
    { site, daemons, reader }: {
      readonly site: WireSite;
      readonly daemons: readonly DaemonProcess[];
      readonly reader: string;
    },
  ) {
    this.#situation = situation;
    this.#site = site;
    this.#watched = daemons.map((daemon) => ({
      daemon,
      watch: new ProcessWatch({ reader, processId: () => daemon.processId }),
    }));
    this.#crowds = situation.crowds.map(({ kind, connections }) =>
      new Crowd({
        kind,
        connections,
        daemons,
        host: site.host,
        seconds: situation.seconds,
      })
    );
    this.#unplannedExit = new Promise((resolve) => this.#reportExit = resolve);
  }

  async run(): Promise<CrowdResult> {
    for (const { daemon } of this.#watched) {
      daemon.start();
      this.#followExit(daemon);
    }
    await this.#ask(["request", "ready"], "before the crowd");
    if (this.#broken.length === 0) {
      await Promise.race([this.#playCrowds(), this.#unplannedExit]);
    }
    return this.#judge();
  }

  async end(): Promise<void> {
    this.#isEnded = true;
    for (const crowd of this.#crowds) crowd.close();
    await Promise.all(this.#watched.map(({ watch }) => watch.stop()));
  }

  async #playCrowds(): Promise<void> {
    this.#site.store.fault = this.#situation.store;
    await Promise.all([
      ...this.#crowds.map((crowd) => crowd.play()),
      this.#stopFirst(),
    ]);
    this.#site.store.fault = "none";
    if (this.#isEnded) return;
    await this.#ask(["request"], "beside the crowd");
    for (const crowd of this.#crowds) {
      // A daemon that stops closes connections whose requests it hasn't read.
      if (this.#situation.stopSeconds === undefined) {
        this.#broken.push(...crowd.findWrongAnswers());
      }
      crowd.close();
    }
    // The same after the crowd would take as long again.
    if (this.#broken.length > 0) return;
    await this.#ask(["request", "directory", "ready"], "after the crowd");
    for (const crowd of this.#crowds) {
      if (crowd.isServedAlone) await this.#sendAlone(crowd);
    }
  }

  async #ask(asked: readonly AskedFor[], when: string): Promise<void> {
    const { host } = this.#site;
    const asks = this.#watched.flatMap(({ daemon }) =>
      asked.map(async (kind) => {
        const outcome = await askDaemon({
          daemon,
          host,
          asked: kind,
          milliseconds: SERVED_MILLISECONDS,
          isOver: () => this.#isEnded,
        });
        if (outcome === undefined || this.#isEnded) return;
        const { name } = daemon.options;
        this.#broken.push(`${name}: ${kind} ${when}: ${outcome}`);
      })
    );
    await Promise.all(asks);
  }

  async #sendAlone(crowd: Crowd): Promise<void> {
    const until = performance.now() + SERVED_MILLISECONDS;
    let status: number | undefined;
    do {
      status = await crowd.sendAlone(until - performance.now());
      if (status === SERVED_STATUS) return;
      await setTimeoutPromise(RETRY_MILLISECONDS);
    } while (performance.now() < until && !this.#isEnded);
    this.#broken.push(`alone after the crowd: ${status ?? "no answer"}`);
  }

  /** Stops the first daemon as platforms do, and starts it again. */
  async #stopFirst(): Promise<void> {
    const { stopSeconds } = this.#situation;
    const [first] = this.#watched;
    if (stopSeconds === undefined || first === undefined) return;
    await setTimeoutPromise(stopSeconds * MILLISECONDS_PER_SECOND);
    if (this.#isEnded) return;
    const { daemon } = first;
    this.#stopping.add(daemon);
    daemon.signal("SIGTERM");
    const kill = setTimeout(() => {
      this.#broken.push(`${daemon.options.name}: killed after its grace`);
      daemon.signal("SIGKILL");
    }, CROWD_GRACE_SECONDS * MILLISECONDS_PER_SECOND);
    await daemon.exited;
    clearTimeout(kill);
    if (this.#isEnded) return;
    this.#stopping.delete(daemon);
    await daemon.restartAfterExit();
    this.#followExit(daemon);
  }

  #followExit(daemon: DaemonProcess): void {
    void daemon.exited.then((exit) => {
      if (this.#isEnded || this.#stopping.has(daemon)) return;
      const { code, signal } = exit as ProcessExit;
      this.#broken.push(`${daemon.options.name}: exited (${signal ?? code})`);
      this.#reportExit();
    });
  }

  #judge(): CrowdResult {
    const { memoryMegabytes, maximumDescriptors } = this.#situation;
    for (const { daemon, watch } of this.#watched) {
      const { name } = daemon.options;
      if (watch.peakBytes === 0 || watch.peakDescriptors === 0) {
        this.#broken.push(`${name}: nothing was read of the process`);
      }
      if (watch.peakBytes > memoryMegabytes * BYTES_PER_MEGABYTE) {
        this.#broken.push(
          `${name}: ${toMegabytes(watch.peakBytes)} MB of ${memoryMegabytes}`,
        );
      }
      if (watch.peakDescriptors > maximumDescriptors) {
        this.#broken.push(
          `${name}: ${watch.peakDescriptors} descriptors of ${maximumDescriptors}`,
        );
      }
    }
    const peaks = this.#watched.map(({ watch }) => watch);
    return {
      peakMb: toMegabytes(Math.max(...peaks.map(({ peakBytes }) => peakBytes))),
      peakDescriptors: Math.max(
        ...peaks.map(({ peakDescriptors }) => peakDescriptors),
      ),
      broken: this.#broken,
    };
  }
}

function toMegabytes(bytes: number): number {
  return Math.round(bytes / BYTES_PER_MEGABYTE * 10) / 10;
}
