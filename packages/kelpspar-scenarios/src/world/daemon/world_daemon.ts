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

/** Parameters of a `WorldDaemon`. */
export interface WorldDaemonOptions {
  readonly settings: Settings;
  readonly timer: ManualTimer;
  readonly random: RandomSource;
  readonly mutation: WorldMutation;
  /** Creates the ports that use the world's network. */
  readonly createPorts: (
    process: DaemonProcess,
  ) => Pick<
    DaemonPorts,
    "table" | "vmList" | "weightStore" | "endpoints" | "peers"
  >;
}

/** One incarnation of a daemon: a real core on simulated ports. */
export class WorldDaemon {
  readonly process: DaemonProcess;
  readonly ports: DaemonPorts;
  readonly core: DaemonCore;
  readonly actors: DaemonActors;
  readonly handlers: PeerHandlers;
  readonly log = new CollectingLog();
  /** The revisions that became active here, in order. */
  readonly revisions: ActiveRevision[] = [];
  /** Monotonic milliseconds. */
  readonly startedAt: number;
  /** Start and end of a planned stop, monotonic milliseconds. */
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
    this.actors = startActors({ settings, ports: changed, core: this.core });
  }

  get daemonId(): string {
    return this.#options.settings.daemonId;
  }

  /** The address it listens on, without the port. */
  get address(): string {
    return this.#options.settings.address;
  }

  get revision(): number {
    return this.core.configuration.revision();
  }

  get isAlive(): boolean {
    return this.process.state !== "dead";
  }

  /** True while the process handles messages and timers. */
  get isRunning(): boolean {
    return this.process.state === "running";
  }

  /** Kills the process without notifying anyone. */
  die(): void {
    this.process.die();
    this.#unregisterListener();
    this.actors.stop();
  }

  /** Shuts down gracefully, as on SIGTERM; resolves when the process ended. */
  async stop(): Promise<void> {
    const { timer, settings, mutation } = this.#options;
    this.stopBeganAt = timer.now();
    await (mutation.drain ?? drainDaemon)({
      core: this.core,
      timer: this.process.timer,
      announce: this.actors.announce,
      limitMilliseconds: settings.limits.drainLimitMilliseconds,
    });
    if (!this.isAlive) return;
    this.stopEndedAt = timer.now();
    this.die();
  }

  /** Kills the process and frees the resources of its core. */
  close(): void {
    if (this.isAlive) this.die();
    void this.core.metrics.close();
  }
}
