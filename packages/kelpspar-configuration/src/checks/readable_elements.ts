/** An element of a list in the configuration, and where it stands. */
export interface Listed<Element> {
  readonly element: Element;
  readonly path: readonly PropertyKey[];
}

/** The readable elements of a list; none where the list is unreadable. */
export function listed<Element>(
  list: readonly (Element | null)[] | null,
  path: readonly PropertyKey[],
): Listed<Element>[] {
  const found: Listed<Element>[] = [];
  for (const [index, element] of (list ?? []).entries()) {
    if (element !== null) found.push({ element, path: [...path, index] });
  }
  return found;
}

/** The ids of a list; undefined where the list itself is unreadable. */
export function idsOf(
  list: readonly ({ readonly id: string | null } | null)[] | null,
): ReadonlySet<string> | undefined {
  if (list === null) return undefined;
  return new Set(listed(list, []).flatMap(({ element }) => element.id ?? []));
}
