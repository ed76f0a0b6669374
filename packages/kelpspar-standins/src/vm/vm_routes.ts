import type { ListedVm } from "kelpspar-backends";
import type { JsonRoute } from "../http/json_route.ts";
import type { LaggingVmList } from "./lagging_vm_list.ts";
import { answer } from "../http/json_reply.ts";

/** The VM list's HTTP protocol (docs/PLATFORM.md). */
export function createVmRoutes(list: LaggingVmList): readonly JsonRoute[] {
  return [
    {
      method: "GET",
      path: "/v1/vms",
      handler: () => answer(list.visible),
    },
  ];
}

/** Control routes for tests and experiments: set the list and its lag. */
export function createVmControlRoutes(
  list: LaggingVmList,
): readonly JsonRoute[] {
  return [
    {
      method: "POST",
      path: "/v1/vms",
      handler: ({ body }) => {
        list.replace((body as { readonly vms: readonly ListedVm[] }).vms);
        return answer({});
      },
    },
    {
      method: "POST",
      path: "/control/lag",
      handler: ({ body }) => {
        const { lagMilliseconds } = body as {
          readonly lagMilliseconds: number;
        };
        list.setLag(lagMilliseconds);
        return answer({});
      },
    },
  ];
}
