#!/usr/bin/env node
import type { Settings } from "./settings/settings_schema.ts";
import { command, option, run, string } from "cmd-ts";
import { readFile } from "node:fs/promises";
import process from "node:process";
import { KelpsparError, RESULT_CODES, toKelpsparError } from "kelpspar-shared";
import { createPorts } from "./create_ports.ts";
import { startDaemon } from "./daemon.ts";
import { parseSettings } from "./settings/parse_settings.ts";

const daemonCommand = command({
  name: "kelpspar-daemon",
  description: "Serves pipelines between callers and endpoints",
  args: {
    settings: option({
      type: string,
      long: "settings",
      description: "The JSON file with the daemon's settings",
    }),
  },
  handler: ({ settings }) => runDaemon(settings),
});

async function runDaemon(file: string): Promise<void> {
  try {
    const settings = await readSettings(file);
    await serve(settings);
  } catch (thrown) {
    const error = toKelpsparError(thrown);
    process.stderr.write(`${error.code} ${error.result}: ${error.message}\n`);
    process.exitCode = RESULT_CODES[error.result].exitCode;
  }
}

async function readSettings(file: string): Promise<Settings> {
  try {
    return parseSettings(await readFile(file, "utf8"));
  } catch (cause) {
    if (cause instanceof KelpsparError) throw cause;
    throw new KelpsparError(
      "settings_unreadable",
      `Cannot read the settings file "${file}"`,
      { cause },
    );
  }
}

async function serve(settings: Settings): Promise<void> {
  const ports = createPorts(settings);
  const daemon = await startDaemon(settings, ports);
  process.stdout.write(
    JSON.stringify({
      listening: { port: daemon.port },
      incarnation: daemon.incarnation,
    }) + "\n",
  );
  await waitForStopSignal();
  await daemon.stop();
  await ports.close();
}

/** Resolves at the first SIGTERM or SIGINT; later signals are ignored. */
function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.on("SIGTERM", () => resolve());
    process.on("SIGINT", () => resolve());
  });
}

await run(daemonCommand, process.argv.slice(2));
