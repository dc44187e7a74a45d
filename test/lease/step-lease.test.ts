import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  authorityOf,
  epochOf,
  holdsAuthority,
  isReleased,
  leaseKey,
} from '../../src/core/lease/index.js';
import { rowOf } from '../../src/lab/model/table.js';
import { Harness, RESOURCE } from './support.js';

test('one of several candidates acquires a free lease at once and keeps it', () => {
  const harness = new Harness();
  for (const name of ['a', 'b', 'c']) harness.start(name);
  harness.run(300);
  const holder = harness.holder();
  assert.ok(holder);
  harness.run(20_000);
  assert.equal(harness.holder(), holder);
  assert.equal(epochOf(harness.state(holder)), 1);
});

test('a paused holder is deposed, and the next holder has a higher epoch', () => {
  const harness = new Harness();
  harness.start('a');
  harness.run(300);
  harness.start('b');
  harness.run(5_000);
  assert.equal(harness.holder(), 'a');
  harness.run(6_000, ['b']);
  assert.equal(holdsAuthority(harness.state('a'), harness.now), false);
  assert.equal(harness.holder(), 'b');
  assert.equal(epochOf(harness.state('b')), 2);
  harness.run(3_000);
  assert.equal(epochOf(harness.state('a')), null);
});

test('a lease does not lapse before its row has been unchanged for the duration and the margin', () => {
  const harness = new Harness();
  harness.start('a');
  harness.run(300);
  const renewedAt = harness.now;
  harness.start('b');
  harness.run(2_900, ['b']);
  assert.ok(harness.now < renewedAt + 3_300);
  assert.equal(epochOf(harness.state('b')), null);
});

test('after a release the next candidate acquires the lease without waiting for the lapse', () => {
  const harness = new Harness();
  harness.start('a');
  harness.run(300);
  harness.start('b');
  harness.run(300);
  harness.send('a', { kind: 'release' });
  assert.equal(authorityOf(harness.state('a')), null);
  harness.send('b', { kind: 'refresh' });
  harness.run(200);
  assert.equal(harness.holder(), 'b');
  assert.equal(epochOf(harness.state('b')), 2);
});

test('while the store is down, authority ends at its deadline; afterwards it resumes under the same epoch', () => {
  const harness = new Harness();
  harness.start('a');
  harness.run(300);
  harness.faults.set('a', 'down');
  const before = harness.calls;
  harness.run(60_000);
  assert.equal(harness.holder(), undefined);
  assert.ok(harness.calls - before < 150, `${harness.calls - before} store calls in a minute`);
  harness.faults.set('a', 'none');
  harness.run(2_000);
  assert.equal(harness.holder(), 'a');
  assert.equal(epochOf(harness.state('a')), 1);
});

test('after a lost answer the rows are read again, whether or not the write took effect', () => {
  for (const fault of ['lost-before', 'lost-after'] as const) {
    const harness = new Harness();
    harness.faults.set('a', 'none');
    harness.start('a');
    harness.faults.set('a', fault);
    harness.run(150);
    assert.equal(harness.holder(), undefined, 'authority without an answer');
    harness.faults.set('a', 'none');
    harness.run(1_000);
    assert.equal(harness.holder(), 'a');
    assert.equal(rowOf(harness.table, leaseKey(RESOURCE)).value !== null, true);
    assert.equal(epochOf(harness.state('a')), 1);
  }
});

test('a restarted daemon does not treat the lease of its former incarnation as its own', () => {
  const harness = new Harness();
  harness.start('a', 1);
  harness.run(300);
  harness.start('a', 2);
  harness.run(1_000);
  assert.equal(harness.holder(), undefined);
  harness.run(4_000);
  assert.equal(epochOf(harness.state('a')), 2);
});

test('a stop does not wait for a store that is down once the lease has lapsed', () => {
  const harness = new Harness();
  harness.start('a');
  harness.run(300);
  harness.faults.set('a', 'lost-before');
  harness.send('a', { kind: 'release' });
  assert.equal(isReleased(harness.state('a')), false);
  harness.run(5_000);
  assert.equal(isReleased(harness.state('a')), true);
});

test('a daemon that is no longer a candidate makes no calls, even when its last read is outdated', () => {
  const harness = new Harness();
  harness.start('a');
  harness.run(300);
  harness.send('a', { kind: 'want', candidate: false });
  harness.run(1_000);
  const before = harness.calls;
  harness.run(20_000);
  assert.equal(harness.calls, before);
});
