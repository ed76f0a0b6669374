#!/usr/bin/env node
import { readFile } from "node:fs/promises";
import process from "node:process";
import { SystemRandom, SystemTimer } from "kelpspar-shared";
import { ProcessOutput } from "./output/process_output.ts";
import { runCli } from "./run_cli.ts";

process.exitCode = await runCli(process.argv.slice(2), {
  output: new ProcessOutput(),
  timer: new SystemTimer(),
  random: new SystemRandom(),
  environment: process.env,
  readFile: (path) => readFile(path, "utf8"),
});
