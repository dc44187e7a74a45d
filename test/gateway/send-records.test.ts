/** The text on a request's sends in the log line at its end. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { formatSends, type SendRecord } from '../../src/core/gateway/index.js';

function send(fields: Partial<SendRecord>): SendRecord {
  return { serverId: 'i-1', step: 'run', result: 'answered', origin: undefined, ...fields };
}

test('sends are listed in order with their step and result', () => {
  const sends = [send({ step: 'prefill' }), send({ serverId: 'i-2', result: 'broken' })];
  assert.equal(formatSends(sends, 'a'), 'prefill i-1 answered, run i-2 broken');
});

test('a send notes that its answer came on a reused connection, or belongs to another request', () => {
  const own = send({ origin: { requestId: 'a', isReusedConnection: true } });
  const other = send({ origin: { requestId: 'b', isReusedConnection: true } });
  const none = send({ origin: { requestId: undefined, isReusedConnection: false } });
  assert.equal(
    formatSends([own, other, none], 'a'),
    'run i-1 answered (reused), run i-1 answered (reused; answer to b), run i-1 answered (answer to no request)',
  );
});

test('of many sends only the first are listed', () => {
  const sends = Array.from({ length: 11 }, () => send({}));
  assert.match(formatSends(sends, 'a'), /, 3 more$/);
});
