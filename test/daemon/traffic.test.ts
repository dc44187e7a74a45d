/** The request path of a daemon: which backends it chooses. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Traffic } from '../../src/core/daemon/traffic.js';
import { createMembership } from '../../src/core/membership/index.js';
import type { RequestTableEffect } from '../../src/core/requests/index.js';
import { request } from '../requests/support.js';
import { configuration, machine, report, view } from '../routing/fixtures.js';

const NOW = 1_000;

function holder(name: string, version: string) {
  return view(report(name, { models: [{ model: 'labels', version, adapters: [] }] }));
}

/** A daemon's request path during a rolling update from v1 to v2. */
function trafficInRoll(): Traffic {
  const endpoint = { address: '127.0.0.1', port: 1 };
  const self = { name: 'd1', zone: 'a', incarnation: 1, endpoint };
  const membership = createMembership(self, []);
  const traffic = new Traffic({
    daemon: 'd1',
    incarnation: 1,
    zone: 'a',
    maxWaitingPerClass: 10,
    membership,
  });
  traffic.configure(configuration({ models: { labels: { version: 'v2' } } }));
  const views = [holder('old-1', 'v1'), holder('old-2', 'v1'), holder('old-3', 'v1')];
  views.push(holder('new-1', 'v2'), holder('new-2', 'v2'));
  traffic.setMachines(views.map((known) => machine(known.machine.name)));
  for (const known of views) traffic.setView(known);
  return traffic;
}

function dispatchIn(effects: readonly RequestTableEffect[]) {
  const dispatch = effects.find((effect) => effect.kind === 'dispatch');
  assert.ok(dispatch !== undefined, 'no dispatch among the effects');
  return dispatch;
}

test('a broken stream resumes on another engine with the model version that produced its beginning', () => {
  const resumedOn = new Set<string>();
  for (let entropy = 0; entropy < 60; entropy += 1) {
    const traffic = trafficInRoll();
    const context = { now: NOW, entropy: entropy * 65_537 };
    const description = request({ streamed: true });
    const first = dispatchIn(traffic.step({ kind: 'request-arrived', description }, context));
    const version = first.backend.startsWith('old') ? 'v1' : 'v2';
    const { attempt } = first;
    const lost = { kind: 'broken', reason: 'reset', deliveredTokens: 3, headersForwarded: true };
    const event = { ...lost, kind: 'broken', attempt, version } as const;
    const effects = traffic.step({ kind: 'attempt', request: description.id, event }, context);
    const second = dispatchIn(effects);
    assert.equal(second.backend.startsWith('old') ? 'v1' : 'v2', version);
    assert.notEqual(second.backend, first.backend);
    assert.equal(second.resumeOffset, 3);
    resumedOn.add(version);
  }
  assert.deepEqual([...resumedOn].sort(), ['v1', 'v2']);
});

test("a dispatch to an engine carries the end of the engine's grant as `sendBefore`", () => {
  const description = request();
  const context = { now: NOW, entropy: 1 };
  const arrived = { kind: 'request-arrived', description } as const;
  assert.equal(dispatchIn(trafficInRoll().step(arrived, context)).sendBefore, 2_000);
});
