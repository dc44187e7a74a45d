/** Guards against heads that never end and take more memory than the machine has. */
import { afterEach, test } from 'node:test';
import { chunks, smallHeaders } from '../../../soak/wire-requests.js';
import { assertOutlives, holdBodies, openCrowd } from '../support/crowd.js';
import { type ProcessLimits, RealGateway } from '../support/real-gateway.js';
import { chunkedHead, openHead, WEB } from '../support/request-bytes.js';

const HEAD_LIMITS = { maxOldSpaceMb: 48, memoryMb: 200 };
const HEADS_AND_BODIES_LIMITS = { maxOldSpaceMb: 48, memoryMb: 240 };
/** The heads are longer than the limit of the configuration and shorter than the parser's. */
const CALLER_LIMITS = { maxHeaderBytes: 16_384 };
const CALLERS = 1_200;
const LARGE_HEADERS = { 'X-Large-1': 'x'.repeat(60_000), 'X-Large-2': 'x'.repeat(60_000) };
/** About 120,000 bytes on the wire. */
const SMALL_HEADERS = 15_000;
const CALLERS_WITH_BODIES = 30;
const BODY_CHUNKS = 60;
const BODY_CHUNK_BYTES = 65_536;

let gateway: RealGateway | undefined;

afterEach(() => gateway?.stop());

async function startGateway(limits: ProcessLimits): Promise<RealGateway> {
  gateway = new RealGateway(limits, CALLER_LIMITS);
  await gateway.start();
  return gateway;
}

test('unfinished heads with large headers stay within the memory of the machine', async () => {
  const to = await startGateway(HEAD_LIMITS);
  await openCrowd(to, CALLERS, () => Buffer.from(openHead('POST', WEB, LARGE_HEADERS)));
  await assertOutlives(to, HEAD_LIMITS);
});

test('unfinished heads with many small headers stay within the memory of the machine', async () => {
  const to = await startGateway(HEAD_LIMITS);
  const bytes = Buffer.from(openHead('POST', WEB, smallHeaders(SMALL_HEADERS)));
  await openCrowd(to, CALLERS, () => bytes);
  await assertOutlives(to, HEAD_LIMITS);
});

test('unfinished heads beside unfinished bodies stay within the memory of the machine', async () => {
  const to = await startGateway(HEADS_AND_BODIES_LIMITS);
  const body = chunks(BODY_CHUNKS, BODY_CHUNK_BYTES);
  const withBody = () => Buffer.concat([Buffer.from(chunkedHead(WEB)), body]);
  await holdBodies(to, CALLERS_WITH_BODIES, withBody);
  await openCrowd(to, CALLERS, () => Buffer.from(openHead('POST', WEB, LARGE_HEADERS)));
  await assertOutlives(to, HEADS_AND_BODIES_LIMITS);
});
