import type { TopLevelSpec } from "vega-lite";

/**
 * Renders a plot as SVG, without a browser or network access. The libraries are
 * imported dynamically, because loading them would slow down the start of every
 * other command.
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
