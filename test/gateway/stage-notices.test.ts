/** Notices of engines that switch their stage apply while they are repeated, and expire otherwise. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type ServerRecord, StageNotices } from '../../src/core/gateway/index.js';

const ENGINE: ServerRecord = {
  id: 'e1',
  service: 's',
  address: '127.0.0.1:1',
  zone: 'a',
  slots: 8,
  state: 'ready',
  isSpot: false,
  stage: 'decode',
};

test('an engine gets no work while it switches, and work of its new stage before the server list shows it', () => {
  const notices = new StageNotices();
  notices.apply({ engineId: 'e1', stage: 'prefill', phase: 'changing' }, 0);
  assert.deepEqual(notices.usable([ENGINE], 100), []);
  assert.equal(notices.expected([ENGINE], 100)[0]?.stage, 'prefill');
  notices.apply({ engineId: 'e1', stage: 'prefill', phase: 'changed' }, 1_000);
  assert.equal(notices.usable([ENGINE], 1_100)[0]?.stage, 'prefill');
});

test('when the ordering daemon stops repeating a notice, the engine is used in its listed stage again', () => {
  const notices = new StageNotices();
  notices.apply({ engineId: 'e1', stage: 'prefill', phase: 'changing' }, 0);
  assert.equal(notices.usable([ENGINE], 1_600)[0]?.stage, 'decode');
  notices.apply({ engineId: 'e1', stage: 'prefill', phase: 'changed' }, 2_000);
  assert.equal(notices.usable([ENGINE], 20_000)[0]?.stage, 'decode');
});
