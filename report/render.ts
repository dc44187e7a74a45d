/** Renders vega-lite to static SVG. Outside src/, because src/ may not import development packages. */
import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import type { PlotSpecification } from '../src/lab/report/index.js';

/** Renders a specification to SVG text. */
export async function renderSvg(specification: PlotSpecification): Promise<string> {
  const { spec } = compile(specification as unknown as TopLevelSpec);
  const view = new View(parse(spec), { renderer: 'none' });
  const svg = await view.toSVG();
  view.finalize();
  return svg;
}
