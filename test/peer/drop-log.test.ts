import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PEER_EVENTS } from '../../src/core/logging/catalogue/peer.js';
import { createDropLog } from '../../src/shell/peer/index.js';

test('the first dropped message is logged at once, further ones as one line with a count every ten seconds', () => {
  let now = 0;
  const lines: unknown[] = [];
  const drop = createDropLog(
    (event, fields) => lines.push([event.number, fields]),
    () => now,
  );
  const peer = { address: '127.0.0.1', port: 7 };
  drop('unauthenticated', peer);
  for (; now < 10_000; now += 100) drop('unauthenticated', peer);
  drop('malformed', null);
  drop('unauthenticated', peer);
  const { unauthenticated, malformed } = PEER_EVENTS;
  const fields = { reason: 'unauthenticated', peer: '127.0.0.1:7' };
  assert.deepEqual(lines, [
    [unauthenticated.number, { ...fields, count: 1 }],
    [malformed.number, { reason: 'malformed', count: 1, peer: null }],
    [unauthenticated.number, { ...fields, count: 101 }],
  ]);
});
