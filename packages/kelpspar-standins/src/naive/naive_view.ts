import type { Configuration } from "kelpspar-configuration";
import type { ListedVm, TableService, VmList } from "kelpspar-backends";
import type { TimerService } from "kelpspar-shared";
import { parseConfiguration } from "kelpspar-configuration";

const CONFIGURATION_POLL_MILLISECONDS = 2_000;
const VM_LIST_POLL_MILLISECONDS = 1_000;
const CONFIGURATION_ROW_KEY = {
  table: "configuration",
  key: "current",
} as const;

/** The configuration row of the table. */
export interface ConfigurationRow {
  readonly revision: number;
  readonly changeId: string;
  readonly configuration: unknown;
}

/** A naive daemon's last reads of the configuration row and the VM list. */
export class NaiveView {
  readonly #table: TableService;
  readonly #vmList: VmList;
  #row: ConfigurationRow | undefined;
  #configuration: Configuration | undefined;
  #vms: readonly ListedVm[] = [];

  constructor(options: {
    readonly table: TableService;
    readonly vmList: VmList;
  }) {
    this.#table = options.table;
    this.#vmList = options.vmList;
  }

  /** Starts polling; returns the teardown. */
  start(timer: TimerService): () => void {
    void this.#readConfiguration();
    void this.#readVms();
    const stops = [
      timer.registerInterval(
        () => void this.#readConfiguration(),
        CONFIGURATION_POLL_MILLISECONDS,
      ),
      timer.registerInterval(
        () => void this.#readVms(),
        VM_LIST_POLL_MILLISECONDS,
      ),
    ];
    return () => stops.forEach((stop) => stop());
  }

  get configuration(): Configuration | undefined {
    return this.#configuration;
  }

  /** The last valid row that was read or written. */
  get row(): ConfigurationRow | undefined {
    return this.#row;
  }

  get revision(): number {
    return this.#row?.revision ?? 0;
  }

  /** VMs of a kind that are listed as live. */
  live(kind: ListedVm["kind"]): readonly ListedVm[] {
    return this.#vms.filter((vm) => vm.kind === kind && vm.state === "live");
  }

  /**
   * Writes a change without a condition on the current revision, so that the
   * last write wins. Returns the new revision.
   */
  async apply(change: Omit<ConfigurationRow, "revision">): Promise<number> {
    const [found] = await this.#table.read([CONFIGURATION_ROW_KEY]);
    const before = found?.value as ConfigurationRow | undefined;
    const row = { ...change, revision: (before?.revision ?? 0) + 1 };
    await this.#table.commit({
      writes: [{ ...CONFIGURATION_ROW_KEY, value: row }],
    });
    this.#acceptRow(row);
    return row.revision;
  }

  async #readConfiguration(): Promise<void> {
    try {
      const [found] = await this.#table.read([CONFIGURATION_ROW_KEY]);
      if (found !== null && found !== undefined) {
        this.#acceptRow(found.value as ConfigurationRow);
      }
    } catch {
      // Keeps the last state; the next poll may succeed.
    }
  }

  async #readVms(): Promise<void> {
    try {
      this.#vms = (await this.#vmList.list()).vms;
    } catch {
      // Keeps the last state; the next poll may succeed.
    }
  }

  #acceptRow(row: ConfigurationRow): void {
    const parsed = parseConfiguration(row.configuration);
    if (!parsed.ok) return;
    this.#row = row;
    this.#configuration = parsed.configuration;
  }
}
