/** Guards against a process that V8 ends as callers send thousands of requests without waiting for answers. */
import { afterEach, test } from 'node:test';
import { assertOutlives, openCrowd, openUnread } from '../support/crowd.js';
import { RealGateway } from '../support/real-gateway.js';
import { head, type Target, UNKNOWN, WEB } from '../support/request-bytes.js';

const LIMITS = { maxOldSpaceMb: 64, memoryMb: 300 };
const CALLERS = 120;
const REQUESTS_PER_CALLER = 5_000;

let gateway: RealGateway | undefined;

afterEach(() => gateway?.stop());

async function assertOutlivesPipelined(target: Target, open: typeof openCrowd): Promise<void> {
  const to = new RealGateway(LIMITS);
  gateway = to;
  await to.start();
  const one = () => head('GET', target, {});
  const requests = () => Buffer.from(Array.from({ length: REQUESTS_PER_CALLER }, one).join(''));
  // All at once, as building them takes longer than sending them.
  const ready = Array.from({ length: CALLERS }, requests);
  await open(to, CALLERS, (index) => ready[index] ?? requests());
  await assertOutlives(to, LIMITS);
}

test('thousands of pipelined requests whose answers are not read do not end the process', async () => {
  await assertOutlivesPipelined(WEB, openUnread);
});

test('thousands of pipelined requests whose answers are read do not end the process', async () => {
  await assertOutlivesPipelined(WEB, openCrowd);
});

test('thousands of pipelined requests without a route do not end the process', async () => {
  await assertOutlivesPipelined(UNKNOWN, openUnread);
});

test('thousands of pipelined requests without a route whose answers are read do not end the process', async () => {
  await assertOutlivesPipelined(UNKNOWN, openCrowd);
});
