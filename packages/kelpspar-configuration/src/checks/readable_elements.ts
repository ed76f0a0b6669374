/** An element of a list in the configuration, with its path. */
export interface ListElement<Element> {
  readonly element: Element;
  readonly path: readonly PropertyKey[];
}

/** Returns the readable elements of a list; none if the list is unreadable. */
export function readableElements<Element>(
  list: readonly (Element | null)[] | null,
  path: readonly PropertyKey[],
): ListElement<Element>[] {
  const found: ListElement<Element>[] = [];
  for (const [index, element] of (list ?? []).entries()) {
    if (element !== null) found.push({ element, path: [...path, index] });
  }
  return found;
}

/** Returns the ids of a list; undefined if the list itself is unreadable. */
export function readableIds(
  list: readonly ({ readonly id: string | null } | null)[] | null,
): ReadonlySet<string> | undefined {
  if (list === null) return undefined;
  return new Set(
    readableElements(list, []).flatMap(({ element }) => element.id ?? []),
  );
}
