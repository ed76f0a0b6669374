import type { ConsolaInstance } from "consola";
import type { Output } from "./output.ts";
import process from "node:process";
import { createConsola } from "consola";

const LEVEL_INFORMATION = 3;

/**
 * Prints to the process's streams: results unchanged to standard output, so
 * that other programs can parse them, and errors with consola.
 */
export class ProcessOutput implements Output {
  readonly #log: ConsolaInstance = createConsola({
    level: LEVEL_INFORMATION,
    fancy: false,
    formatOptions: { date: false, colors: false },
  });

  print(text: string): void {
    process.stdout.write(`${text}\n`);
  }

  printError(text: string): void {
    this.#log.error(text);
  }
}
