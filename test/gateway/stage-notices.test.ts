/** Notices on engines that change their stage: they hold while they are told, and no longer. */
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

test('an engine that changes gets no work, and then work of its new stage before the list shows it', () => {
  const notices = new StageNotices();
  notices.apply({ engineId: 'e1', stage: 'prefill', phase: 'changing' }, 0);
  assert.deepEqual(notices.usable([ENGINE], 100), []);
  assert.equal(notices.expected([ENGINE], 100)[0]?.stage, 'prefill');
  notices.apply({ engineId: 'e1', stage: 'prefill', phase: 'changed' }, 1_000);
  assert.equal(notices.usable([ENGINE], 1_100)[0]?.stage, 'prefill');
});

test('a notice whose orderer fell silent leaves the engine as it is listed', () => {
  const notices = new StageNotices();
  notices.apply({ engineId: 'e1', stage: 'prefill', phase: 'changing' }, 0);
  assert.equal(notices.usable([ENGINE], 1_600)[0]?.stage, 'decode');
  notices.apply({ engineId: 'e1', stage: 'prefill', phase: 'changed' }, 2_000);
  assert.equal(notices.usable([ENGINE], 20_000)[0]?.stage, 'decode');
});
