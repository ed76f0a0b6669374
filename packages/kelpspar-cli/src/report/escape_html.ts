const ENTITIES: Readonly<Record<string, string>> = {
  "&": "&amp;",
  "<": "&lt;",
  ">": "&gt;",
  '"': "&quot;",
  "'": "&#39;",
};

/** Escapes text for use between tags and in quoted attributes. */
export function escapeHtml(text: string): string {
  return text.replaceAll(
    /[&<>"']/g,
    (character) => ENTITIES[character] ?? character,
  );
}
