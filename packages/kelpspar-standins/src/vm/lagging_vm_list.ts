import type { ListedVm, VmList, VmListAnswer } from "kelpspar-backends";
import type { TimerService } from "kelpspar-shared";

/** How far a VM list lags and what it begins with. */
export interface LaggingVmListOptions {
  readonly timer: TimerService;
  /** How long a change stays hidden, milliseconds. */
  readonly lagMilliseconds: number;
  /** Visible from the beginning. */
  readonly vms?: readonly ListedVm[];
}

/** A VM list whose changes show only after a lag. */
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

  /** Changes the lag of later changes, milliseconds. */
  setLag(lagMilliseconds: number): void {
    this.#lagMilliseconds = lagMilliseconds;
  }

  /** Replaces the whole list; it shows after the lag. */
  replace(vms: readonly ListedVm[]): void {
    this.#sequence += 1;
    const answer = { sequence: this.#sequence, vms: [...vms] };
    if (this.#lagMilliseconds === 0) return this.#show(answer);
    this.#timer.registerTimeout(
      () => this.#show(answer),
      this.#lagMilliseconds,
    );
  }

  /** What callers see now. */
  get visible(): VmListAnswer {
    return this.#visible;
  }

  async list(): Promise<VmListAnswer> {
    return this.#visible;
  }

  /** A list never goes back, also when the lag was made shorter meanwhile. */
  #show(answer: VmListAnswer): void {
    if (answer.sequence > this.#visible.sequence) this.#visible = answer;
  }
}
