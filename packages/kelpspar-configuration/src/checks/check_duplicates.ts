import type { ConfigurationProblem } from "../problems/configuration_problem.ts";
import type { ConfigurationOutline } from "./configuration_outline.ts";
import { formatPath } from "../problems/format_path.ts";
import { listed } from "./readable_elements.ts";

interface Named {
  readonly name: string | null;
  readonly path: readonly PropertyKey[];
}

/** Ids must differ within their list, and keys across all holders. */
export function checkDuplicates(
  outline: ConfigurationOutline,
): ConfigurationProblem[] {
  return [
    ...repeatedIds(outline.accounts, ["accounts"]),
    ...repeatedIds(outline.operators, ["operators"]),
    ...repeatedIds(outline.models, ["models"]),
    ...repeatedIds(outline.services, ["services"]),
    ...repeatedIds(outline.pipelines, ["pipelines"]),
    ...repeatedNames(callerKeyHashes(outline)),
    ...repeatedNames(operatorKeyHashes(outline)),
    ...listed(outline.services, ["services"]).flatMap(({ element, path }) =>
      repeatedNames(plainNames(element.models, [...path, "models"]))
    ),
    ...listed(outline.models, ["models"]).flatMap(({ element, path }) =>
      repeatedNames(plainNames(element.adapters, [...path, "adapters"]))
    ),
    ...listed(outline.pipelines, ["pipelines"]).flatMap(
      ({ element, path }) => [
        ...repeatedIds(element.stages, [...path, "stages"]),
        ...repeatedNames(
          listed(element.accounts, [...path, "accounts"]).map((entry) => ({
            name: entry.element.account,
            path: [...entry.path, "account"],
          })),
        ),
      ],
    ),
  ];
}

function repeatedIds(
  list: readonly ({ readonly id: string | null } | null)[] | null,
  path: readonly PropertyKey[],
): ConfigurationProblem[] {
  return repeatedNames(
    listed(list, path).map((entry) => ({
      name: entry.element.id,
      path: [...entry.path, "id"],
    })),
  );
}

/**
 * What goes wrong: with one key in two client accounts, a caller would be
 * served as either, and see the other's results. So no key stands twice.
 */
function callerKeyHashes(outline: ConfigurationOutline): Named[] {
  return listed(outline.accounts, ["accounts"]).flatMap(({ element, path }) =>
    plainNames(element.callerKeyHashes, [...path, "callerKeyHashes"])
  );
}

function operatorKeyHashes(outline: ConfigurationOutline): Named[] {
  return listed(outline.operators, ["operators"]).map((entry) => ({
    name: entry.element.keyHash,
    path: [...entry.path, "keyHash"],
  }));
}

function plainNames(
  names: readonly (string | null)[] | null,
  path: readonly PropertyKey[],
): Named[] {
  return (names ?? []).map((name, index) => ({ name, path: [...path, index] }));
}

function repeatedNames(entries: readonly Named[]): ConfigurationProblem[] {
  const first = new Map<string, string>();
  const problems: ConfigurationProblem[] = [];
  for (const { name, path } of entries) {
    if (name === null) continue;
    const place = formatPath(path);
    const earlier = first.get(name);
    if (earlier === undefined) first.set(name, place);
    else problems.push({ path: place, message: `Stands at "${earlier}" too` });
  }
  return problems;
}
