/** The reports of servers in the answers between daemons. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  decodeAvailability,
  encodeAvailability,
  type ForwardedAvailability,
} from '../../src/shell/gateway/forwarded-availability.js';

const NAME = 'threadfork-forward-availability';

function headersOf(reports: readonly ForwardedAvailability[]): Record<string, string> {
  const [, , name = '', value = ''] = encodeAvailability(reports);
  return { [name.toLowerCase()]: value };
}

test('reports arrive as they were sent, whatever the ids of the servers', () => {
  const backOffMs = fc.option(fc.integer({ min: 1, max: 60_000 }), { nil: undefined });
  const report = fc.record(
    { serverId: fc.string({ minLength: 1, unit: 'grapheme' }), isLeaving: fc.boolean(), backOffMs },
    { noNullPrototype: true },
  );
  fc.assert(
    fc.property(fc.array(report, { maxLength: 16 }), (reports) => {
      assert.deepEqual(decodeAvailability(headersOf(reports)), reports);
    }),
    { seed: 11, numRuns: 300 },
  );
});

test('entries that cannot be read are passed over', () => {
  const entries = ['aS0x', 'aS0x gone 0', 'aS0x open -1', 'i+1 leaving 0', 'aS00 leaving 0', ''];
  assert.deepEqual(decodeAvailability({ [NAME]: entries.join(', ') }), [
    { serverId: 'i-4', isLeaving: true, backOffMs: undefined },
  ]);
  assert.deepEqual(decodeAvailability({}), []);
});
