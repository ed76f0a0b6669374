import type { ListedVm, VmList } from "kelpspar-backends";
import type { TimerService } from "kelpspar-shared";
import { LaggingVmList } from "kelpspar-standins";

const DEFAULT_LAG_MILLISECONDS = 1_000;

/** The actual VMs and the platform's list of them, which lags behind. */
export class VmRows {
  readonly #list: LaggingVmList;
  #rows: readonly ListedVm[] = [];
  #lagMilliseconds = DEFAULT_LAG_MILLISECONDS;
  #replacements = 0;

  constructor(timer: TimerService) {
    this.#list = new LaggingVmList({ timer, lagMilliseconds: 0 });
  }

  /** The list as daemons read it. */
  get list(): VmList {
    return this.#list;
  }

  get rows(): readonly ListedVm[] {
    return this.#rows;
  }

  /** Delay until a change appears in the list, milliseconds. */
  get lagMilliseconds(): number {
    return this.#lagMilliseconds;
  }

  setLag(milliseconds: number): void {
    this.#lagMilliseconds = milliseconds;
    this.#list.setLag(milliseconds);
  }

  /** Adds a VM before the list is published. */
  add(vm: ListedVm): void {
    this.#rows = [...this.#rows, vm];
  }

  /** Publishes the VMs without lag; later changes appear after the lag. */
  publish(): void {
    this.#list.replace(this.#rows);
    this.#list.setLag(this.#lagMilliseconds);
  }

  /** The actual row of a VM; throws an Error for an unknown id. */
  row(id: string): ListedVm {
    const found = this.#rows.find((vm) => vm.id === id);
    if (found === undefined) throw new Error(`No VM "${id}"`);
    return found;
  }

  /** Changes a VM's row; the list shows the change after the lag. */
  change(id: string, change: Partial<ListedVm>): void {
    this.#rows = this.#rows.map((vm) =>
      vm.id === id ? { ...vm, ...change } : vm
    );
    this.#list.replace(this.#rows);
  }

  /** Replaces a VM by a new one with the same id and address. */
  replaceVm(id: string): void {
    this.#replacements++;
    const incarnation = `${id}-vm-${this.#replacements + 1}`;
    this.change(id, { incarnation, state: "live" });
  }
}
