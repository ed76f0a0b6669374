import type { ListedVm, VmList } from "kelpspar-backends";
import type { TimerService } from "kelpspar-shared";
import { LaggingVmList } from "kelpspar-standins";

const DEFAULT_LAG_MILLISECONDS = 1_000;

/** The VMs as they are, and the platform's list of them, which lags. */
export class VmRows {
  readonly #list: LaggingVmList;
  #rows: readonly ListedVm[] = [];
  #lagMilliseconds = DEFAULT_LAG_MILLISECONDS;
  #replacements = 0;

  constructor(timer: TimerService) {
    this.#list = new LaggingVmList({ timer, lagMilliseconds: 0 });
  }

  /** The list as daemons see it. */
  get list(): VmList {
    return this.#list;
  }

  get rows(): readonly ListedVm[] {
    return this.#rows;
  }

  /** How long a change stays hidden, milliseconds. */
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

  /** Shows the VMs at once; later changes show after the lag. */
  publish(): void {
    this.#list.replace(this.#rows);
    this.#list.setLag(this.#lagMilliseconds);
  }

  /** A VM as it is; throws an Error for one that there is not. */
  row(id: string): ListedVm {
    const found = this.#rows.find((vm) => vm.id === id);
    if (found === undefined) throw new Error(`There is no VM "${id}"`);
    return found;
  }

  /** Changes a VM's row; it shows after the lag. */
  change(id: string, change: Partial<ListedVm>): void {
    this.#rows = this.#rows.map((vm) =>
      vm.id === id ? { ...vm, ...change } : vm
    );
    this.#list.replace(this.#rows);
  }

  /** A new VM takes the place and the address of one. */
  replaceVm(id: string): void {
    this.#replacements++;
    const incarnation = `${id}-vm-${this.#replacements + 1}`;
    this.change(id, { incarnation, state: "live" });
  }
}
