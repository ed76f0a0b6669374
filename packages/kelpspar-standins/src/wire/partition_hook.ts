// Loaded into a daemon process before its program. Partitions the daemon from
// endpoints as its partition file says.
import type { PartitionMode } from "./network_partition.ts";
import process from "node:process";
import { NetworkPartition } from "./network_partition.ts";
import {
  PARTITION_FILE_VARIABLE,
  readPartitionFile,
} from "./partition_file.ts";

const POLL_INTERVAL_MILLISECONDS = 25;

const path = process.env[PARTITION_FILE_VARIABLE] ?? "";
const { addresses } = readPartitionFile(path);
const partition = new NetworkPartition(addresses);
let current: PartitionMode | undefined;

function update(): void {
  const { mode } = readPartitionFile(path);
  if (mode === current) return;
  current = mode;
  if (mode === undefined) partition.end();
  else partition.start(mode);
}

partition.register();
update();
setInterval(update, POLL_INTERVAL_MILLISECONDS).unref();
