const ENTITIES: Readonly<Record<string, string>> = {
  "&": "&amp;",
  "<": "&lt;",
  ">": "&gt;",
  '"': "&quot;",
  "'": "&#39;",
};

/** Makes a text safe between tags and within quoted attributes. */
export function escapeHtml(text: string): string {
  return text.replaceAll(/[&<>"']/g, (sign) => ENTITIES[sign] ?? sign);
}
