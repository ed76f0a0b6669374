import type {
  DaemonActors,
  DaemonCore,
  DaemonPorts,
  PeerHandlers,
  Settings,
} from "kelpspar-daemon";
import type { ManualTimer, RandomSource } from "kelpspar-shared";
import type { WorldMutation } from "../world_mutation.ts";
import type { ActiveRevision } from "./active_revision.ts";
import {
  createCore,
  createPeerHandlers,
  drainDaemon,
  startActors,
} from "kelpspar-daemon";
import { CollectingLog } from "./collecting_log.ts";
import { DaemonProcess } from "./daemon_process.ts";

/** What a daemon of the world is made of. */
export interface WorldDaemonOptions {
  readonly settings: Settings;
  readonly timer: ManualTimer;
  readonly random: RandomSource;
  readonly mutation: WorldMutation;
  /** The ports that go through the world's network. */
  readonly createPorts: (
    process: DaemonProcess,
  ) => Pick<
    DaemonPorts,
    "table" | "vmList" | "weightStore" | "endpoints" | "peers"
  >;
}

/** One incarnation of a daemon: a real core over the world's ports. */
export class WorldDaemon {
  readonly process: DaemonProcess;
  readonly ports: DaemonPorts;
  readonly core: DaemonCore;
  readonly roles: DaemonActors;
  readonly handlers: PeerHandlers;
  readonly log = new CollectingLog();
  /** Each revision that came into force here, and when. */
  readonly revisions: ActiveRevision[] = [];
  /** Monotonic milliseconds. */
  readonly startedAt: number;
  /** When a planned stop began and ended, monotonic milliseconds. */
  stopBeganAt: number | undefined;
  stopEndedAt: number | undefined;
  readonly #options: WorldDaemonOptions;
  readonly #unregisterListener: () => void;

  constructor(options: WorldDaemonOptions) {
    this.#options = options;
    const { settings, timer, mutation } = options;
    this.startedAt = timer.now();
    this.process = new DaemonProcess(timer);
    const ports: DaemonPorts = {
      ...options.createPorts(this.process),
      timer: this.process.timer,
      random: options.random,
      log: this.log,
    };
    const changed = mutation.ports?.(ports) ?? ports;
    this.ports = changed;
    this.core = createCore({
      settings,
      ports: changed,
      port: () => settings.port,
    });
    this.#unregisterListener = this.core.state.registerListener(
      (now, before) => {
        if (now.configurationRow === before.configurationRow) return;
        const revision = now.configurationRow?.revision ?? 0;
        this.revisions.push({ revision, at: timer.now() });
      },
    );
    mutation.core?.(this.core);
    this.handlers = createPeerHandlers(this.core, changed);
    this.roles = startActors({ settings, ports: changed, core: this.core });
  }

  get daemonId(): string {
    return this.#options.settings.daemonId;
  }

  /** Where it listens. */
  get address(): string {
    return this.#options.settings.address;
  }

  get revision(): number {
    return this.core.configuration.revision();
  }

  get isAlive(): boolean {
    return this.process.state !== "dead";
  }

  /** True while the process takes things in. */
  get isRunning(): boolean {
    return this.process.state === "running";
  }

  /** The process ends without a word. */
  die(): void {
    this.process.die();
    this.#unregisterListener();
    this.roles.stop();
  }

  /** Stops in order, as on SIGTERM; resolves when the process has ended. */
  async stop(): Promise<void> {
    const { timer, settings, mutation } = this.#options;
    this.stopBeganAt = timer.now();
    await (mutation.drain ?? drainDaemon)({
      core: this.core,
      timer: this.process.timer,
      announce: this.roles.announce,
      limitMilliseconds: settings.limits.drainLimitMilliseconds,
    });
    if (!this.isAlive) return;
    this.stopEndedAt = timer.now();
    this.die();
  }

  /** Ends the process; what a core holds beside memory is freed behind it. */
  close(): void {
    if (this.isAlive) this.die();
    void this.core.metrics.close();
  }
}
