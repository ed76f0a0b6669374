import type { ChildProcess } from "node:child_process";
import type { ProgramStart } from "./process_group.ts";
import type { ProcessExit, RunningProcess } from "./running_process.ts";
import { spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { ownProcess } from "./owned_processes.ts";

const MAXIMUM_KEPT_LINES = 100;

/** A child process and its recent output. */
export class StartedProcess implements RunningProcess {
  readonly name: string;
  readonly exited: Promise<ProcessExit>;
  readonly lastLines: string[] = [];
  listening: Readonly<Record<string, unknown>> = {};
  readonly #child: ChildProcess;
  readonly #listeners = new Set<(line: string) => void>();

  constructor(start: ProgramStart) {
    this.name = start.name ?? start.program;
    this.#child = spawn(process.execPath, toArguments(start), {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, ...start.environment },
    });
    this.exited = new Promise((resolve) => {
      this.#child.once("close", (code, signal) => resolve({ code, signal }));
      this.#child.once("error", (error) => {
        this.#recordLine(error.message);
        resolve({ code: null, signal: null });
      });
    });
    ownProcess(this);
    this.#readLines();
  }

  get processId(): number {
    return this.#child.pid ?? -1;
  }

  /** Throws when the process exits before it listens. */
  waitUntilListening(): Promise<void> {
    return new Promise((resolve, reject) => {
      const stop = this.registerLine((line) => {
        const listening = parseListeningLine(line);
        if (listening === undefined) return;
        this.listening = listening;
        stop();
        resolve();
      });
      void this.exited.then(() => reject(this.#createStartError()));
    });
  }

  registerLine(listener: (line: string) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  stop(): Promise<ProcessExit> {
    // A paused process doesn't handle SIGTERM until it continues.
    this.signal("SIGCONT");
    this.signal("SIGTERM");
    return this.exited;
  }

  kill(): Promise<ProcessExit> {
    this.signal("SIGKILL");
    return this.exited;
  }

  pause(): void {
    this.signal("SIGSTOP");
  }

  continue(): void {
    this.signal("SIGCONT");
  }

  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  #readLines(): void {
    for (const stream of [this.#child.stdout, this.#child.stderr]) {
      if (stream === null) continue;
      createInterface({ input: stream }).on(
        "line",
        (line) => this.#recordLine(line),
      );
    }
  }

  #recordLine(line: string): void {
    this.lastLines.push(line);
    if (this.lastLines.length > MAXIMUM_KEPT_LINES) this.lastLines.shift();
    for (const listener of this.#listeners) listener(line);
  }

  #createStartError(): Error {
    const output = this.lastLines.join("\n");
    return new Error(
      `Process "${this.name}" exited before it listened: ${output}`,
    );
  }
}

function toArguments(start: ProgramStart): string[] {
  return [
    ...(start.nodeArguments ?? []),
    start.program,
    ...(start.arguments ?? []),
    ...(start.settings === undefined ? [] : [
      start.settingsOption ?? "--settings-json",
      JSON.stringify(start.settings),
    ]),
  ];
}

function parseListeningLine(
  line: string,
): Readonly<Record<string, unknown>> | undefined {
  if (!line.startsWith("{")) return undefined;
  try {
    const { listening } = JSON.parse(line) as { readonly listening?: unknown };
    if (typeof listening !== "object" || listening === null) return undefined;
    return listening as Readonly<Record<string, unknown>>;
  } catch {
    return undefined;
  }
}
