import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { EngineView } from '../../src/core/registry/backend.js';
import {
  chooseEngine,
  expectedFinish,
  leastOutstanding,
  OutlierTracker,
  powerOfTwo,
  random,
  roundRobin,
} from '../../src/core/routing/index.js';
import {
  choiceInput,
  configuration,
  createIndex,
  machine,
  report,
  target,
  view,
} from './fixtures.js';

const POLICIES = [roundRobin, random, leastOutstanding, powerOfTwo, expectedFinish];

/** An ineligible engine `x` beside the eligible `y`: [reason, view of x, configuration changes]. */
const INELIGIBLE: readonly (readonly [string, EngineView, object?])[] = [
  ['no-report', view('x', { report: null })],
  ['machine-leaving', view('x', { machine: machine('x', { state: 'leaving' }) })],
  ['engine-leaving', view(report('x', { leaving: true }))],
  ['drained', view('x'), { backends: { x: { drained: true } } }],
  ['intake-closed', view(report('x', { intake: 'closed' }))],
  ['busy', view(report('x', { busy: true }))],
  ['not-loaded', view(report('x', { models: [] }))],
  [
    'other-version',
    view(report('x', { models: [{ model: 'labels', version: 'v0', adapters: [] }] })),
  ],
  ['grant-expired', view('x', { grantedUntil: 1_000 })],
  ['wrong-role', view(report('x', { role: 'prefill' }))],
  ['full', view(report('x', { activeRequests: 20 }), { reportedAt: 1_000 })],
];

describe('engine eligibility', () => {
  for (const [reason, bad, changes] of INELIGIBLE) {
    it(`never chooses an engine that is: ${reason}`, () => {
      const index = createIndex([bad, view('y')], changes);
      for (const create of POLICIES) {
        const policy = create();
        for (let entropy = 0; entropy < 20; entropy += 1) {
          const context = { now: 1_000, entropy };
          const decision = chooseEngine(choiceInput(index, { policy, context, explain: true }));
          assert.equal(decision.kind, 'chosen', policy.name);
          assert.equal(decision.engine, 'y', policy.name);
          const explained = decision.candidates.find((candidate) => candidate.engine === 'x');
          assert.equal(explained?.excluded, reason);
        }
      }
    });
  }

  it('states the reasons when no engine is eligible', () => {
    const index = createIndex([
      view('x', { grantedUntil: 900 }),
      view(report('y', { busy: true })),
    ]);
    const decision = chooseEngine(choiceInput(index));
    assert.equal(decision.kind, 'none');
    assert.equal(decision.fault.code, 'no-backend');
    assert.equal(decision.fault.outcome, 'refused-not-run');
    assert.match(decision.fault.message, /1 not heard from lately.*1 changing role/);
  });

  it('waits instead of refusing when the engines are only full', () => {
    const full = view(report('x', { activeRequests: 20 }), { reportedAt: 1_000 });
    assert.equal(chooseEngine(choiceInput(createIndex([full]))).kind, 'full');
  });

  it('names the served models for an unknown model or adapter', () => {
    const index = createIndex([view('x')]);
    for (const unknown of [{ model: 'nope' }, { adapter: 'nope' }]) {
      const decision = chooseEngine(choiceInput(index, { target: target(unknown) }));
      assert.equal(decision.kind, 'none');
      assert.equal(decision.fault.code, 'unknown-model');
      assert.equal(decision.fault.retryable, false);
      assert.match(decision.fault.message, /Use one of: "(labels|latin)"/);
    }
  });

  it('uses an engine that the request failed on only when no other engine is left', () => {
    const excluded = new Set(['x']);
    const both = chooseEngine(choiceInput(createIndex([view('x'), view('y')]), { excluded }));
    assert.equal(both.kind === 'chosen' && both.engine, 'y');
    const alone = chooseEngine(choiceInput(createIndex([view('x')]), { excluded }));
    assert.equal(alone.kind === 'chosen' && alone.engine, 'x');
  });

  it('keeps at least half of the candidates in use when all of them fail', () => {
    const names = ['p', 'q', 'r', 's', 't'];
    const outliers = new OutlierTracker();
    for (const name of names) {
      for (let failures = 0; failures < 3; failures += 1) {
        outliers.recordFailure(name, 900);
      }
    }
    const index = createIndex(names.map((name) => view(name)));
    const decision = chooseEngine(choiceInput(index, { outliers, explain: true }));
    const ejected = decision.candidates.filter((candidate) => candidate.excluded === 'ejected');
    assert.equal(decision.kind, 'chosen');
    assert.deepEqual(
      ejected.map((candidate) => candidate.engine),
      ['p', 'q'],
    );
    outliers.recordSuccess('p');
    assert.equal(outliers.isEjected('p', 900), false);
  });

  it('keeps a resumed request on its version, and serves only the new version once half hold it', () => {
    const models = (version: string) => [{ model: 'labels', version, adapters: [] }];
    const index = createIndex([view('x'), view('y'), view('z')]);
    index.setConfiguration(configuration({ models: { labels: { version: 'v2' } } }, 2));
    const engineOf = (version: string | null, entropy: number) => {
      const decision = chooseEngine(
        choiceInput(index, { version, context: { now: 1_000, entropy } }),
      );
      return decision.kind === 'chosen' ? decision.engine : decision.kind;
    };
    index.setView(view(report('x', { models: models('v2') }), { reportedAt: 1 }));
    const seen = new Set(Array.from({ length: 50 }, (_, entropy) => engineOf(null, entropy)));
    assert.deepEqual([...seen].sort(), ['x', 'y', 'z']);
    assert.equal(engineOf('v2', 1), 'x');
    index.setView(view(report('y', { models: models('v2') }), { reportedAt: 1 }));
    const rolled = new Set(Array.from({ length: 50 }, (_, entropy) => engineOf(null, entropy)));
    assert.deepEqual([...rolled].sort(), ['x', 'y']);
  });

  it('removes engines that are no longer in the machine list', () => {
    const index = createIndex([view('x')]);
    index.setMachines([machine('x'), machine('y')]);
    index.setMachines([machine('y')]);
    assert.equal(chooseEngine(choiceInput(index)).kind, 'none');
    assert.equal(index.engine('x'), undefined);
  });
});
