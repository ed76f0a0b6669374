import type { TopLevelSpec } from "vega-lite";

/**
 * Draws a plot as SVG, without a browser or a network. The libraries are
 * loaded here and not at the top, since loading them would slow the start of
 * every other command.
 */
export async function renderPlot(specification: TopLevelSpec): Promise<string> {
  const [vega, vegaLite] = await Promise.all([
    import("vega"),
    import("vega-lite"),
  ]);
  const compiled = vegaLite.compile(specification);
  const view = new vega.View(vega.parse(compiled.spec), { renderer: "none" });
  try {
    return await view.toSVG();
  } finally {
    view.finalize();
  }
}
