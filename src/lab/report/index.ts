/** Reports of experiments: plots and HTML page. The plots are rendered by `report/` outside src. */
export { reportPage } from './page.js';
export { type PlotSpecification, plots } from './plots.js';
