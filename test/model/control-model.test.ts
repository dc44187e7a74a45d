import assert from 'node:assert/strict';
import { performance } from 'node:perf_hooks';
import { test } from 'node:test';
import { type ControlScope, controlModel } from '../../src/lab/model/control/index.js';
import { explore } from '../../src/lab/model/explorer.js';
import { exploreGraph } from '../../src/lab/model/graph-explorer.js';

const LIMITS = { maxStates: 100_000, stopAt: null };
const seconds = () => performance.now() / 1_000;

const SCOPES: readonly { readonly scope: ControlScope; readonly goals: readonly string[] }[] = [
  { scope: { kills: 1 }, goals: ['order done', 'second epoch at the engine'] },
  { scope: { requests: 1 }, goals: ['order done', 'request runs'] },
  { scope: { reversals: 1 }, goals: ['order abandoned', 'order done'] },
  { scope: { engineCrashes: 1 }, goals: ['order failed', 'order done'] },
];

for (const { scope, goals } of SCOPES) {
  test(`no property of the control model is violated with ${JSON.stringify(scope)}`, () => {
    const result = explore(controlModel('control', scope), LIMITS, seconds);
    assert.deepEqual(result.violations, []);
    assert.equal(result.complete, true);
    for (const goal of goals) assert.ok(result.goals.includes(goal), `goal never reached: ${goal}`);
  });
}

test('both explorers visit the same states and find equally short counterexamples', () => {
  const model = controlModel('control', { kills: 1 });
  const plain = explore(model, LIMITS, seconds);
  const graph = exploreGraph(model, LIMITS, seconds);
  assert.deepEqual(
    [graph.states, graph.transitions, graph.depth, graph.goals],
    [plain.states, plain.transitions, plain.depth, plain.goals],
  );
  const scope = { kills: 1, lateMessages: 1 };
  const broken = controlModel('control', scope, { fences: false });
  const [plainTrace, graphTrace] = [explore, exploreGraph].map((explorer) => {
    return explorer(broken, LIMITS, seconds).violations[0]?.trace.length;
  });
  assert.equal(graphTrace, plainTrace);
});
