import type { ListedVm, VmList, VmListAnswer } from "kelpspar-backends";
import type { TimerService } from "kelpspar-shared";

/** Lag and initial content of a VM list. */
export interface LaggingVmListOptions {
  readonly timer: TimerService;
  /** Delay until a change is visible, milliseconds. */
  readonly lagMilliseconds: number;
  /** VMs that are visible from the start. */
  readonly vms?: readonly ListedVm[];
}

/** A VM list whose changes become visible after a lag. */
export class LaggingVmList implements VmList {
  readonly #timer: TimerService;
  #lagMilliseconds: number;
  #visible: VmListAnswer;
  #sequence = 1;

  constructor(options: LaggingVmListOptions) {
    this.#timer = options.timer;
    this.#lagMilliseconds = options.lagMilliseconds;
    this.#visible = { sequence: this.#sequence, vms: options.vms ?? [] };
  }

  /** Sets the lag of later changes, milliseconds. */
  setLag(lagMilliseconds: number): void {
    this.#lagMilliseconds = lagMilliseconds;
  }

  /** Replaces the list; the new one becomes visible after the lag. */
  replace(vms: readonly ListedVm[]): void {
    this.#sequence += 1;
    const answer = { sequence: this.#sequence, vms: [...vms] };
    if (this.#lagMilliseconds === 0) return this.#show(answer);
    this.#timer.registerTimeout(
      () => this.#show(answer),
      this.#lagMilliseconds,
    );
  }

  /** The list that callers see now. */
  get visible(): VmListAnswer {
    return this.#visible;
  }

  async list(): Promise<VmListAnswer> {
    return this.#visible;
  }

  /** Ignores an older list, which can be late if the lag was shortened. */
  #show(answer: VmListAnswer): void {
    if (answer.sequence > this.#visible.sequence) this.#visible = answer;
  }
}
