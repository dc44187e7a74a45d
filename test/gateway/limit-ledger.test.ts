/** Tests the ledger of the daemon that grants requests to a server with a limit. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LEDGER_SPAN_MS, LimitLedger, type PermitRequest } from '../../src/core/gateway/index.js';

function permitRequest(fields: Partial<PermitRequest> = {}): PermitRequest {
  return { daemon: 'a', wanted: 1, returned: 0, unmetered: [], knownForMs: 0, ...fields };
}

function ledgerAt(perSecond: number): LimitLedger {
  const ledger = new LimitLedger();
  ledger.setLimit(perSecond);
  return ledger;
}

/** Requests granted to a daemon that requests permits every 10 ms. */
function grantedBetween(ledger: LimitLedger, fromMs: number, toMs: number): number {
  let granted = 0;
  for (let nowMs = fromMs; nowMs < toMs; nowMs += 10) {
    granted += ledger.handleRequest(permitRequest({ wanted: 64 }), nowMs).granted;
  }
  return granted;
}

for (const perSecond of [0, 0.2, 1, 3.8, 20, 1_000]) {
  test(`at ${perSecond} per second, two granting daemons together stay within the requests allowed in 4 s`, () => {
    const inSpan = grantedBetween(ledgerAt(perSecond), 0, LEDGER_SPAN_MS);
    assert.ok(2 * inSpan <= 1.5 * perSecond * 4 + 5, `${inSpan}`);
    const ledger = ledgerAt(perSecond);
    const perMinute = grantedBetween(ledger, 0, 60_000);
    assert.ok(perMinute >= 0.6 * perSecond * 60, `${perMinute} in a minute`);
  });
}

test('requests sent before the limit was known count until they leave the span', () => {
  const ledger = ledgerAt(1);
  const unmetered = [{ atMs: 1_000, count: 4 }];
  assert.equal(ledger.handleRequest(permitRequest({ unmetered }), 2_000).granted, 0);
  const { granted, roomInMs } = ledger.handleRequest(permitRequest({ unmetered }), 3_000);
  assert.equal(granted, 0);
  assert.equal(roomInMs, 1_000 + LEDGER_SPAN_MS - 3_000);
  assert.equal(ledger.handleRequest(permitRequest(), 1_000 + LEDGER_SPAN_MS).granted, 1);
});

test('returned permits are granted again, but only once', () => {
  const ledger = ledgerAt(1);
  assert.equal(ledger.handleRequest(permitRequest(), 0).granted, 1);
  assert.equal(ledger.handleRequest(permitRequest({ daemon: 'b' }), 10).granted, 0);
  ledger.handleRequest(permitRequest({ wanted: 0, returned: 1 }), 20);
  ledger.handleRequest(permitRequest({ wanted: 0, returned: 5 }), 30);
  assert.equal(ledger.handleRequest(permitRequest({ daemon: 'b', wanted: 2 }), 40).granted, 1);
  assert.equal(ledger.handleRequest(permitRequest({ daemon: 'b' }), 50).granted, 0);
});

test('a daemon that takes over from another grants nothing for one span', () => {
  const ledger = ledgerAt(2);
  const { granted, roomInMs } = ledger.handleRequest(permitRequest({ knownForMs: 5_000 }), 100);
  assert.deepEqual([granted, roomInMs], [0, LEDGER_SPAN_MS]);
  assert.equal(
    ledger.handleRequest(permitRequest({ knownForMs: 9_000 }), 100 + LEDGER_SPAN_MS).granted,
    1,
  );
});

test('daemons that request permits share the capacity', () => {
  const ledger = ledgerAt(20);
  const first = ledger.handleRequest(permitRequest({ daemon: 'a', wanted: 64 }), 0).granted;
  assert.equal(first, 20);
  const shared = ledgerAt(20);
  shared.handleRequest(permitRequest({ daemon: 'b', wanted: 1 }), 0);
  assert.equal(shared.handleRequest(permitRequest({ daemon: 'a', wanted: 64 }), 1).granted, 10);
});
