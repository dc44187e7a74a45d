/** The books of the daemon that grants the requests to a limited server. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LEDGER_SPAN_MS, LimitLedger, type PermitRequest } from '../../src/core/gateway/index.js';

function ask(fields: Partial<PermitRequest> = {}): PermitRequest {
  return { daemon: 'a', wanted: 1, returned: 0, unmetered: [], knownForMs: 0, ...fields };
}

function ledgerAt(perSecond: number): LimitLedger {
  const ledger = new LimitLedger();
  ledger.setLimit(perSecond);
  return ledger;
}

/** All that is granted to daemons that ask as often as they may. */
function grantedBetween(ledger: LimitLedger, fromMs: number, toMs: number): number {
  let granted = 0;
  for (let nowMs = fromMs; nowMs < toMs; nowMs += 10) {
    granted += ledger.handleRequest(ask({ wanted: 64 }), nowMs).granted;
  }
  return granted;
}

for (const perSecond of [0, 0.2, 1, 3.8, 20, 1_000]) {
  test(`at ${perSecond} a second two daemons that both grant stay within what is allowed in 4 s`, () => {
    const inSpan = grantedBetween(ledgerAt(perSecond), 0, LEDGER_SPAN_MS);
    assert.ok(2 * inSpan <= 1.5 * perSecond * 4 + 5, `${inSpan}`);
    const ledger = ledgerAt(perSecond);
    const perMinute = grantedBetween(ledger, 0, 60_000);
    assert.ok(perMinute >= 0.6 * perSecond * 60, `${perMinute} in a minute`);
  });
}

test('what was sent before the limit was known counts, by its age', () => {
  const ledger = ledgerAt(1);
  const unmetered = [{ atMs: 1_000, count: 4 }];
  assert.equal(ledger.handleRequest(ask({ unmetered }), 2_000).granted, 0);
  const { granted, roomInMs } = ledger.handleRequest(ask({ unmetered }), 3_000);
  assert.equal(granted, 0);
  assert.equal(roomInMs, 1_000 + LEDGER_SPAN_MS - 3_000);
  assert.equal(ledger.handleRequest(ask(), 1_000 + LEDGER_SPAN_MS).granted, 1);
});

test('what is given back is granted again, once', () => {
  const ledger = ledgerAt(1);
  assert.equal(ledger.handleRequest(ask(), 0).granted, 1);
  assert.equal(ledger.handleRequest(ask({ daemon: 'b' }), 10).granted, 0);
  ledger.handleRequest(ask({ wanted: 0, returned: 1 }), 20);
  ledger.handleRequest(ask({ wanted: 0, returned: 5 }), 30);
  assert.equal(ledger.handleRequest(ask({ daemon: 'b', wanted: 2 }), 40).granted, 1);
  assert.equal(ledger.handleRequest(ask({ daemon: 'b' }), 50).granted, 0);
});

test('a daemon that takes over grants nothing for a span', () => {
  const ledger = ledgerAt(2);
  const { granted, roomInMs } = ledger.handleRequest(ask({ knownForMs: 5_000 }), 100);
  assert.deepEqual([granted, roomInMs], [0, LEDGER_SPAN_MS]);
  assert.equal(ledger.handleRequest(ask({ knownForMs: 9_000 }), 100 + LEDGER_SPAN_MS).granted, 1);
});

test('daemons that ask share what there is', () => {
  const ledger = ledgerAt(20);
  const first = ledger.handleRequest(ask({ daemon: 'a', wanted: 64 }), 0).granted;
  assert.equal(first, 20);
  const shared = ledgerAt(20);
  shared.handleRequest(ask({ daemon: 'b', wanted: 1 }), 0);
  assert.equal(shared.handleRequest(ask({ daemon: 'a', wanted: 64 }), 1).granted, 10);
});
