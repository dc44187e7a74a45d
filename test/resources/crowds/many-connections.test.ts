/** Guards against a process that runs out of descriptors, or gives no memory back, as crowds come and leave early. */
import assert from 'node:assert/strict';
import { afterEach, test } from 'node:test';
import { chunks, tinyChunks } from '../../../soak/wire-requests.js';
import { assertOutlives, assertWithinLimits, openCrowd } from '../support/crowd.js';
import { type ProcessLimits, RealGateway } from '../support/real-gateway.js';
import { chunkedHead, head, openHead, WEB } from '../support/request-bytes.js';

const FEW_DESCRIPTORS_LIMITS = { maxOldSpaceMb: 64, memoryMb: 300, descriptors: 600 };
const SERIES_LIMITS = { maxOldSpaceMb: 64, memoryMb: 300 };
const CONNECTIONS = 1_500;
/** One connection of so many leaves early. */
const LEAVING = 3;
const ROUNDS = 3;
const CALLERS_A_ROUND = 60;
const WAIT_MS = 20_000;

let gateway: RealGateway | undefined;

afterEach(() => gateway?.stop());

async function startGateway(limits: ProcessLimits): Promise<RealGateway> {
  gateway = new RealGateway(limits);
  await gateway.start();
  return gateway;
}

test('more connections than descriptors, many of which are reset, leave enough descriptors', async () => {
  const to = await startGateway(FEW_DESCRIPTORS_LIMITS);
  const request = () => Buffer.from(`${head('POST', WEB, { 'Content-Length': '2' })}x`);
  const sent = await openCrowd(to, CONNECTIONS, request);
  assertWithinLimits(to, FEW_DESCRIPTORS_LIMITS);
  for (const [index, { socket }] of sent.entries()) {
    if (index % LEAVING === 0) socket.resetAndDestroy();
  }
  await assertOutlives(to, FEW_DESCRIPTORS_LIMITS);
});

test('crowds that follow each other find the memory of those that have left', async () => {
  const to = await startGateway(SERIES_LIMITS);
  const large = chunks(60, 65_536);
  const tiny = tinyChunks(40_000);
  const crowds: readonly (() => Buffer)[] = [
    () => Buffer.concat([Buffer.from(chunkedHead(WEB)), large]),
    () => Buffer.concat([Buffer.from(chunkedHead(WEB)), tiny]),
    () => Buffer.from(openHead('POST', WEB, { 'X-Large': 'x'.repeat(120_000) })),
    () => Buffer.from(`${head('POST', WEB, { 'Content-Length': '1000000' })}x`),
  ];
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const request of crowds) {
      await openCrowd(to, CALLERS_A_ROUND, request);
      await assertOutlives(to, SERIES_LIMITS);
    }
  }
  to.leave();
  const held = () => to.metric('threadfork_gateway_request_body_bytes');
  await to.waitUntil(async () => (await held()) === 0, WAIT_MS);
  assert.equal(await to.metric('threadfork_gateway_requests_in_flight'), 0);
});
