import type { VmList, VmListAnswer } from "kelpspar-backends";
import type { Exchange } from "../network/exchange.ts";
import { KelpsparError } from "kelpspar-shared";
import { exchange } from "../network/exchange.ts";

/** How a daemon reaches the VM list. */
export type WorldVmListOptions =
  & Pick<
    Exchange<unknown>,
    "network" | "process" | "from" | "timeoutMilliseconds"
  >
  & { readonly vmList: VmList };

/** One daemon's way to the platform's list of VMs. */
export class WorldVmList implements VmList {
  readonly #options: WorldVmListOptions;

  constructor(options: WorldVmListOptions) {
    this.#options = options;
  }

  list(): Promise<VmListAnswer> {
    const { vmList, ...way } = this.#options;
    return exchange({
      ...way,
      to: "vm-list",
      work: async () => structuredClone(await vmList.list()),
      lost: () =>
        new KelpsparError(
          "table_unavailable",
          "The VM list gave no answer in time",
        ),
    });
  }
}
