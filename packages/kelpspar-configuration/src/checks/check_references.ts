import type { ConfigurationProblem } from "../problems/configuration_problem.ts";
import type { ConfigurationOutline } from "./configuration_outline.ts";
import { formatPath } from "../problems/format_path.ts";
import { idsOf, listed } from "./readable_elements.ts";

interface Reference {
  readonly kind: "account" | "model" | "service";
  readonly name: string | null;
  readonly path: readonly PropertyKey[];
}

/** Whatever a pipeline or a service names must be there. */
export function checkReferences(
  outline: ConfigurationOutline,
): ConfigurationProblem[] {
  const known = {
    account: idsOf(outline.accounts),
    model: idsOf(outline.models),
    service: idsOf(outline.services),
  };
  return [...serviceReferences(outline), ...pipelineReferences(outline)]
    .flatMap(({ kind, name, path }) => {
      const ids = known[kind];
      if (name === null || ids === undefined || ids.has(name)) return [];
      const message = `No ${kind} has the id "${name}"`;
      return [{ path: formatPath(path), message }];
    });
}

function serviceReferences(outline: ConfigurationOutline): Reference[] {
  return listed(outline.services, ["services"]).flatMap(({ element, path }) =>
    (element.models ?? []).map((name, index): Reference => ({
      kind: "model",
      name,
      path: [...path, "models", index],
    }))
  );
}

function pipelineReferences(outline: ConfigurationOutline): Reference[] {
  return listed(outline.pipelines, ["pipelines"]).flatMap((pipeline) => {
    const { accounts, stages } = pipeline.element;
    const ofStages = listed(stages, [...pipeline.path, "stages"]).flatMap(
      ({ element, path }): Reference[] => [
        { kind: "service", name: element.service, path: [...path, "service"] },
        { kind: "model", name: element.model, path: [...path, "model"] },
      ],
    );
    const ofAccounts = listed(accounts, [...pipeline.path, "accounts"]).map(
      ({ element, path }): Reference => ({
        kind: "account",
        name: element.account,
        path: [...path, "account"],
      }),
    );
    return [...ofStages, ...ofAccounts];
  });
}
