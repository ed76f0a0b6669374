import type { VmList, VmListAnswer } from "kelpspar-backends";
import type { ExchangeOptions } from "../network/exchange.ts";
import { KelpsparError } from "kelpspar-shared";
import { exchange } from "../network/exchange.ts";

/** Parameters of a `WorldVmList`. */
export type WorldVmListOptions =
  & Pick<
    ExchangeOptions<unknown>,
    "network" | "process" | "from" | "timeoutMilliseconds"
  >
  & { readonly vmList: VmList };

/** Reads the platform's list of VMs over the simulated network. */
export class WorldVmList implements VmList {
  readonly #options: WorldVmListOptions;

  constructor(options: WorldVmListOptions) {
    this.#options = options;
  }

  list(): Promise<VmListAnswer> {
    const { vmList, ...connection } = this.#options;
    return exchange({
      ...connection,
      to: "vm-list",
      handleRequest: async () => structuredClone(await vmList.list()),
      createNoAnswerError: () =>
        new KelpsparError(
          "table_unavailable",
          "The VM list did not answer in time",
        ),
    });
  }
}
