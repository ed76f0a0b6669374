import type { ConfigurationProblem } from "../problems/configuration_problem.ts";
import type { ConfigurationOutline } from "./configuration_outline.ts";
import { formatPath } from "../problems/format_path.ts";
import { readableElements, readableIds } from "./readable_elements.ts";

interface Reference {
  readonly kind: "account" | "model" | "service";
  readonly name: string | null;
  readonly path: readonly PropertyKey[];
}

/** Checks that everything a pipeline or a service refers to exists. */
export function checkReferences(
  outline: ConfigurationOutline,
): ConfigurationProblem[] {
  const idsByKind = {
    account: readableIds(outline.accounts),
    model: readableIds(outline.models),
    service: readableIds(outline.services),
  };
  return [...serviceReferences(outline), ...pipelineReferences(outline)]
    .flatMap(({ kind, name, path }) => {
      const ids = idsByKind[kind];
      if (name === null || ids === undefined || ids.has(name)) return [];
      const message = `No ${kind} has the id "${name}"`;
      return [{ path: formatPath(path), message }];
    });
}

function serviceReferences(outline: ConfigurationOutline): Reference[] {
  return readableElements(outline.services, ["services"]).flatMap((
    { element, path },
  ) =>
    (element.models ?? []).map((name, index): Reference => ({
      kind: "model",
      name,
      path: [...path, "models", index],
    }))
  );
}

function pipelineReferences(outline: ConfigurationOutline): Reference[] {
  return readableElements(outline.pipelines, ["pipelines"]).flatMap(
    (pipeline) => {
      const { accounts, stages } = pipeline.element;
      const stageReferences = readableElements(stages, [
        ...pipeline.path,
        "stages",
      ])
        .flatMap(
          ({ element, path }): Reference[] => [
            {
              kind: "service",
              name: element.service,
              path: [...path, "service"],
            },
            { kind: "model", name: element.model, path: [...path, "model"] },
          ],
        );
      const accountReferences = readableElements(accounts, [
        ...pipeline.path,
        "accounts",
      ]).map(
        ({ element, path }): Reference => ({
          kind: "account",
          name: element.account,
          path: [...path, "account"],
        }),
      );
      return [...stageReferences, ...accountReferences];
    },
  );
}
