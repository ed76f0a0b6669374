/** Merges teardowns into one that runs them in reverse order. */
export function mergeTeardowns(
  ...teardowns: readonly (() => void)[]
): () => void {
  return () => {
    for (const teardown of [...teardowns].reverse()) teardown();
  };
}
