/** The report: a self-contained page that shows every plot on a common time axis. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { renderSvg } from '../../report/render.js';
import { loadScenario, policyNamed, runExperiment } from '../../src/lab/experiment/index.js';
import { plots, reportPage } from '../../src/lab/report/index.js';

test('a report has all plots and figures and loads no external resources', async () => {
  const scenario = loadScenario('examples/scenarios/noise-only.yaml')._unsafeUnwrap();
  const results = ['planner', 'fixed:0p6d'].map((name) => {
    const policy = policyNamed(name, scenario);
    assert.ok(policy !== null);
    return runExperiment({ scenario, policy, seed: 1, stretch: 0.02 });
  });
  const svg = await renderSvg(plots(results));
  const titles = [
    'Goodput',
    'Asked for',
    'Roles: planner',
    'Roles: fixed:0p6d',
    'Requests waiting',
  ];
  for (const title of [...titles, 'First token', 'Between tokens']) {
    assert.ok(svg.includes(title), title);
  }
  assert.ok((svg.match(/Minutes/g) ?? []).length >= 7);
  const page = reportPage({ about: 'a <b>', results, svg });
  assert.ok(page.includes('a &lt;b>') && page.includes(svg));
  for (const result of results) {
    assert.ok(page.includes(result.goodput.tokens_per_second.toFixed(1)));
  }
  assert.doesNotMatch(page, /<script|<link|\bsrc=|href="?http|@import|url\(http/);
});
