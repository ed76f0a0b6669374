import type { Configuration } from "kelpspar-configuration";
import type { ListedVm, TableService, VmList } from "kelpspar-backends";
import type { TimerService } from "kelpspar-shared";
import { parseConfiguration } from "kelpspar-configuration";

const CONFIGURATION_POLL_MILLISECONDS = 2_000;
const VM_LIST_POLL_MILLISECONDS = 1_000;
const CURRENT = { table: "configuration", key: "current" } as const;

/** A configuration as the table has it. */
export interface NaiveRow {
  readonly revision: number;
  readonly changeId: string;
  readonly configuration: unknown;
}

/** What a naive daemon knows: the last it read of the table and the list. */
export class NaiveView {
  readonly #table: TableService;
  readonly #vmList: VmList;
  #row: NaiveRow | undefined;
  #configuration: Configuration | undefined;
  #vms: readonly ListedVm[] = [];

  constructor(options: {
    readonly table: TableService;
    readonly vmList: VmList;
  }) {
    this.#table = options.table;
    this.#vmList = options.vmList;
  }

  /** Reads now and again; returns the teardown. */
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

  /** The row as last read. */
  get row(): NaiveRow | undefined {
    return this.#row;
  }

  get revision(): number {
    return this.#row?.revision ?? 0;
  }

  /** Listed as live. */
  live(kind: ListedVm["kind"]): readonly ListedVm[] {
    return this.#vms.filter((vm) => vm.kind === kind && vm.state === "live");
  }

  /** Writes a change on top of whatever is there; the last one wins. */
  async apply(change: Omit<NaiveRow, "revision">): Promise<number> {
    const [found] = await this.#table.read([CURRENT]);
    const before = found?.value as NaiveRow | undefined;
    const row = { ...change, revision: (before?.revision ?? 0) + 1 };
    await this.#table.commit({ writes: [{ ...CURRENT, value: row }] });
    this.#take(row);
    return row.revision;
  }

  async #readConfiguration(): Promise<void> {
    try {
      const [found] = await this.#table.read([CURRENT]);
      if (found !== null && found !== undefined) {
        this.#take(found.value as NaiveRow);
      }
    } catch {
      // The next reading may succeed.
    }
  }

  async #readVms(): Promise<void> {
    try {
      this.#vms = (await this.#vmList.list()).vms;
    } catch {
      // The next reading may succeed.
    }
  }

  #take(row: NaiveRow): void {
    const parsed = parseConfiguration(row.configuration);
    if (!parsed.ok) return;
    this.#row = row;
    this.#configuration = parsed.configuration;
  }
}
