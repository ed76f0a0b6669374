import type { TableService } from "kelpspar-backends";
import type { WorldMutation } from "../world/world_mutation.ts";

/** Overrides `commit` of every daemon's table service. */
export function withCommit(
  commit: (
    table: TableService,
    transaction: Parameters<TableService["commit"]>[0],
  ) => ReturnType<TableService["commit"]>,
): WorldMutation {
  return {
    ports: (ports) => ({
      ...ports,
      table: {
        commit: (transaction) => commit(ports.table, transaction),
        read: (keys) => ports.table.read(keys),
        scan: (scan) => ports.table.scan(scan),
      },
    }),
  };
}
