import assert from 'node:assert/strict';
import { test } from 'node:test';
import { mayDispatch } from '../../src/core/registry/grant.js';
import { chooseEngine } from '../../src/core/routing/index.js';
import { choiceInput, createIndex, machine, report, view } from '../routing/fixtures.js';

// The control model's dispatcher uses `mayDispatch`, while the production router has its own check.
// The model is valid only if both agree.
test('the router sends to an engine exactly when the dispatcher of the control model would', () => {
  let sent = 0;
  for (const state of ['live', 'leaving'] as const) {
    for (const intake of ['open', 'closed'] as const) {
      for (const busy of [false, true]) {
        for (const leaving of [false, true]) {
          for (const grantedUntil of [999, 1_000, 1_001]) {
            const known = view(report('e1', { intake, busy, leaving }), {
              machine: machine('e1', { state }),
              grantedUntil,
            });
            const isSent = chooseEngine(choiceInput(createIndex([known]))).kind === 'chosen';
            const text = JSON.stringify({ state, intake, busy, leaving, grantedUntil });
            assert.equal(isSent, mayDispatch(known, 1_000), text);
            if (isSent) sent += 1;
          }
        }
      }
    }
  }
  assert.equal(sent, 1);
});
