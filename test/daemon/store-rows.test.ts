/** Rows of the operators' tables that are stored in the table service. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createDaemonState } from '../../src/core/daemon/index.js';
import { initialPoolDuty } from '../../src/core/daemon/pool-duty.js';
import { STORED_TABLES, withOwnRemainingTime } from '../../src/core/daemon/tables/index.js';

test('a change row shows its operator and time; an older row without these fields is still shown', () => {
  const value = { version: 3, digest: 'd', description: ['a'] };
  const rowOf = (extra: object) =>
    STORED_TABLES.changes?.rowOf({ key: 'change/x', version: 1, value: { ...value, ...extra } });
  const author = { operator: 'night-shift', at: '2026-01-01T00:00:00.000Z' };
  assert.deepEqual(rowOf(author), { id: 'x', version: 3, ...author, description: ['a'] });
  assert.deepEqual(rowOf({}), {
    id: 'x',
    version: 3,
    operator: null,
    at: null,
    description: ['a'],
  });
});

test('only the holder of a lease shows its remaining time, and only until the lease expires', () => {
  const state = createDaemonState({
    name: 'd1',
    zone: 'z',
    incarnation: 1,
    peerEndpoint: { address: '127.0.0.1', port: 1 },
    seeds: [],
    maxWaitingPerClass: 1,
  });
  const duty = initialPoolDuty('default', 'd1', 1);
  const held = { epoch: 1, epochRowVersion: 1, until: 1_500 };
  const lease = { ...duty.lease, candidate: true, held };
  const holding = { ...state, duties: new Map([['default', { ...duty, lease }]]) };
  const rows = [{ resource: 'pool/default' }, { resource: 'pool/other' }];
  const shown = withOwnRemainingTime(rows, holding, 1_000).map((row) => row.remainingMs);
  assert.deepEqual(shown, [500, null]);
  const lapsed = withOwnRemainingTime(rows, holding, 1_500).map((row) => row.remainingMs);
  assert.deepEqual(lapsed, [null, null]);
});
