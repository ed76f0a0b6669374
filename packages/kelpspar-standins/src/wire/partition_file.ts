import type { PartitionMode } from "./network_partition.ts";
import { readFileSync, renameSync, writeFileSync } from "node:fs";

/** Environment variable of a daemon process with the path of its file. */
export const PARTITION_FILE_VARIABLE = "KELPSPAR_PARTITION_FILE";

/** The partition of a daemon process, as stored in its file. */
export interface PartitionFile {
  /** Addresses of the endpoints, `address:port`. */
  readonly addresses: readonly string[];
  /** Undefined while the daemon reaches them. */
  readonly mode?: PartitionMode | undefined;
}

/** Replaces the file at once, so that no reader sees a part of it. */
export function writePartitionFile(path: string, file: PartitionFile): void {
  writeFileSync(`${path}.new`, JSON.stringify(file));
  renameSync(`${path}.new`, path);
}

/** Throws if the file is missing. */
export function readPartitionFile(path: string): PartitionFile {
  return JSON.parse(readFileSync(path, "utf8")) as PartitionFile;
}
