/**
 * Guards against a soak whose process does not end: callers that were closed while a poll of the daemons' readiness was
 * in flight went on polling for ever.
 */
import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import { Callers } from '../../soak/callers.js';
import { deferred } from '../gateway/support/deferred.js';

const SPAN_MS = 10_000;

test('callers that are closed during a poll of the readiness of daemons poll no more', async () => {
  mock.timers.enable({ apis: ['setTimeout', 'setInterval'] });
  const answer = deferred<boolean>();
  let polls = 0;
  const daemon = {
    name: 'daemon-a-0',
    host: '127.0.0.1',
    port: 1,
    incarnation: 1,
    isRunning: false,
    isReady: () => {
      polls += 1;
      return answer.promise;
    },
  };
  const callers = new Callers({
    daemons: [daemon],
    classes: [],
    requestsPerSecond: 0,
    keys: [],
    random: () => 0,
    calls: new Map(),
  });
  callers.start();
  callers.close();
  answer.resolve(true);
  await new Promise((resolve) => setImmediate(resolve));
  mock.timers.tick(SPAN_MS);
  assert.equal(polls, 1);
  mock.timers.reset();
});
