import type { ConfigurationProblem } from "../problems/configuration_problem.ts";
import type {
  ConfigurationOutline,
  OutlineElement,
  StageOutline,
} from "./configuration_outline.ts";
import type { ListElement } from "./readable_elements.ts";
import { formatPath } from "../problems/format_path.ts";
import { readableElements } from "./readable_elements.ts";

interface ConfigurationLookup {
  readonly services: ReadonlyMap<string | null, OutlineElement<"services">>;
  readonly models: ReadonlyMap<string | null, OutlineElement<"models">>;
}

/**
 * Checks that stages, services and models are consistent about what runs where.
 */
export function checkModels(
  outline: ConfigurationOutline,
): ConfigurationProblem[] {
  const lookup: ConfigurationLookup = {
    services: byId(readableElements(outline.services, [])),
    models: byId(readableElements(outline.models, [])),
  };
  return [
    ...checkPlainServices(outline),
    ...checkMinimumReady(outline),
    ...readableElements(outline.pipelines, ["pipelines"]).flatMap((
      { element, path },
    ) =>
      readableElements(element.stages, [...path, "stages"]).flatMap((stage) => [
        ...checkStageModel(stage, lookup),
        ...checkStageAdapter(stage, lookup),
      ])
    ),
  ];
}

function byId<Part extends { readonly id: string | null }>(
  parts: readonly ListElement<Part>[],
): ReadonlyMap<string | null, Part> {
  return new Map(parts.map(({ element }) => [element.id, element]));
}

function checkPlainServices(
  outline: ConfigurationOutline,
): ConfigurationProblem[] {
  return readableElements(outline.services, ["services"]).flatMap(
    ({ element, path }) => {
      if (element.kind !== "plain" || !element.models?.length) return [];
      const message = "A plain service runs no models";
      return [{ path: formatPath([...path, "models"]), message }];
    },
  );
}

function checkMinimumReady(
  outline: ConfigurationOutline,
): ConfigurationProblem[] {
  const services = readableElements(outline.services, []);
  const runModels = new Set(
    services.flatMap(({ element }) => element.models ?? []),
  );
  if (outline.services === null) return [];
  return readableElements(outline.models, ["models"]).flatMap(
    ({ element, path }) => {
      if (element.id === null || runModels.has(element.id)) return [];
      // If absent, the schema's default of 1 applies.
      if (element.minimumReady === 0) return [];
      const message =
        `No service runs the model "${element.id}", so none can stay ready`;
      return [{ path: formatPath([...path, "minimumReady"]), message }];
    },
  );
}

function checkStageModel(
  { element, path }: ListElement<StageOutline>,
  { services }: ConfigurationLookup,
): ConfigurationProblem[] {
  const service = services.get(element.service);
  if (service === undefined || service.kind === null) return [];
  if (element.model === null) {
    if (service.kind !== "engine") return [];
    const message =
      `A stage at the engine service "${service.id}" must name a model`;
    return [{ path: formatPath([...path, "model"]), message }];
  }
  if (service.models?.includes(element.model)) return [];
  const message =
    `The service "${service.id}" does not run the model "${element.model}"`;
  return [{ path: formatPath([...path, "model"]), message }];
}

function checkStageAdapter(
  { element, path }: ListElement<StageOutline>,
  { models }: ConfigurationLookup,
): ConfigurationProblem[] {
  if (element.adapter === null) return [];
  const adapterPath = formatPath([...path, "adapter"]);
  if (element.model === null) {
    return [{ path: adapterPath, message: "An adapter needs a model" }];
  }
  const model = models.get(element.model);
  if (model === undefined) return [];
  if (model.adapters?.includes(element.adapter)) return [];
  const message =
    `The model "${element.model}" has no adapter "${element.adapter}"`;
  return [{ path: adapterPath, message }];
}
