import type { ConfigurationProblem } from "../problems/configuration_problem.ts";
import type { ConfigurationOutline } from "./configuration_outline.ts";
import { formatPath } from "../problems/format_path.ts";
import { readableElements } from "./readable_elements.ts";

interface NamedEntry {
  readonly name: string | null;
  readonly path: readonly PropertyKey[];
}

/**
 * Checks that ids are unique in their list, and keys among all their holders.
 */
export function checkDuplicates(
  outline: ConfigurationOutline,
): ConfigurationProblem[] {
  return [
    ...findDuplicateIds(outline.accounts, ["accounts"]),
    ...findDuplicateIds(outline.operators, ["operators"]),
    ...findDuplicateIds(outline.models, ["models"]),
    ...findDuplicateIds(outline.services, ["services"]),
    ...findDuplicateIds(outline.pipelines, ["pipelines"]),
    ...findDuplicateNames(callerKeyHashes(outline)),
    ...findDuplicateNames(operatorKeyHashes(outline)),
    ...readableElements(outline.services, ["services"]).flatMap((
      { element, path },
    ) =>
      findDuplicateNames(toNamedEntries(element.models, [...path, "models"]))
    ),
    ...readableElements(outline.models, ["models"]).flatMap((
      { element, path },
    ) =>
      findDuplicateNames(
        toNamedEntries(element.adapters, [...path, "adapters"]),
      )
    ),
    ...readableElements(outline.pipelines, ["pipelines"]).flatMap(
      ({ element, path }) => [
        ...findDuplicateIds(element.stages, [...path, "stages"]),
        ...findDuplicateNames(
          readableElements(element.accounts, [...path, "accounts"]).map((
            entry,
          ) => ({
            name: entry.element.account,
            path: [...entry.path, "account"],
          })),
        ),
      ],
    ),
  ];
}

function findDuplicateIds(
  list: readonly ({ readonly id: string | null } | null)[] | null,
  path: readonly PropertyKey[],
): ConfigurationProblem[] {
  return findDuplicateNames(
    readableElements(list, path).map((entry) => ({
      name: entry.element.id,
      path: [...entry.path, "id"],
    })),
  );
}

/**
 * Keys must be unique: with the same key in two client accounts, a caller could
 * be served as either and see the other's results.
 */
function callerKeyHashes(outline: ConfigurationOutline): NamedEntry[] {
  return readableElements(outline.accounts, ["accounts"]).flatMap((
    { element, path },
  ) => toNamedEntries(element.callerKeyHashes, [...path, "callerKeyHashes"]));
}

function operatorKeyHashes(outline: ConfigurationOutline): NamedEntry[] {
  return readableElements(outline.operators, ["operators"]).map((entry) => ({
    name: entry.element.keyHash,
    path: [...entry.path, "keyHash"],
  }));
}

function toNamedEntries(
  names: readonly (string | null)[] | null,
  path: readonly PropertyKey[],
): NamedEntry[] {
  return (names ?? []).map((name, index) => ({ name, path: [...path, index] }));
}

function findDuplicateNames(
  entries: readonly NamedEntry[],
): ConfigurationProblem[] {
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
