/** Guards against processes that end, or serve nobody, beside callers whose bodies stop just short of their end. */
import { afterEach, test } from 'node:test';
import { chunks, smallHeaders, tinyChunks } from '../../../soak/wire-requests.js';
import {
  assertOutlives,
  assertServes,
  assertWithinLimits,
  holdBodies,
  openCrowd,
} from '../support/crowd.js';
import { RealGateway } from '../support/real-gateway.js';
import { chunkedHead, head, MODEL, type Target, WEB } from '../support/request-bytes.js';

const LIMITS = { maxOldSpaceMb: 64, memoryMb: 300 };
/** Shorter than those of a deployment, so that stalled callers are evicted within the test. */
const CALLER_LIMITS = { headerTimeoutMs: 2_000, idleTimeoutMs: 5_000 };
const TINY_CHUNK_CALLERS = 100;
const TINY_CHUNK_BODY_BYTES = 80_000;
const SMALL_HEADER_CALLERS = 1_200;
const SMALL_HEADERS = 1_900;
const LARGE_CHUNK_CALLERS = 40;
const LARGE_CHUNK_BYTES = 65_536;
/** The smaller bodies take what the larger ones leave of the memory. */
const LARGE_CHUNK_COUNTS = [60, 8, 1];
const DECLARING_CALLERS = 200;
const DECLARED_BYTES = 1_000_000;
const ORDINARY = { body: Buffer.alloc(1_000_000, 'x') };

let gateway: RealGateway | undefined;

afterEach(() => gateway?.stop());

async function startGateway(): Promise<RealGateway> {
  gateway = new RealGateway(LIMITS, CALLER_LIMITS);
  await gateway.start();
  return gateway;
}

async function assertOutlivesTinyChunks(target: Target): Promise<void> {
  const to = await startGateway();
  const body = tinyChunks(TINY_CHUNK_BODY_BYTES);
  const request = () => Buffer.concat([Buffer.from(chunkedHead(target)), body]);
  await openCrowd(to, TINY_CHUNK_CALLERS, request);
  await assertOutlives(to, LIMITS);
}

test('unfinished bodies in chunks of one byte to a web route do not end the process', async () => {
  await assertOutlivesTinyChunks(WEB);
});

test('unfinished bodies in chunks of one byte to a model route do not end the process', async () => {
  await assertOutlivesTinyChunks(MODEL);
});

test('unfinished requests with many small headers do not end the process', async () => {
  const to = await startGateway();
  const headers = { 'Content-Length': '2', ...smallHeaders(SMALL_HEADERS) };
  await openCrowd(to, SMALL_HEADER_CALLERS, () => Buffer.from(`${head('POST', WEB, headers)}x`));
  await assertOutlives(to, LIMITS);
});

test('a request with a body is served beside bodies in large chunks that lack their last piece', async () => {
  const to = await startGateway();
  for (const count of LARGE_CHUNK_COUNTS) {
    const body = chunks(count, LARGE_CHUNK_BYTES);
    const request = () => Buffer.concat([Buffer.from(chunkedHead(WEB)), body]);
    await holdBodies(to, LARGE_CHUNK_CALLERS, request);
  }
  assertWithinLimits(to, LIMITS);
  await assertServes(to, ORDINARY);
  await assertOutlives(to, LIMITS);
});

test('a request with a body is served beside bodies that have a length and are not sent', async () => {
  const to = await startGateway();
  const headers = { 'Content-Length': String(DECLARED_BYTES) };
  await openCrowd(to, DECLARING_CALLERS, () => Buffer.from(`${head('POST', WEB, headers)}x`));
  await to.settle();
  assertWithinLimits(to, LIMITS);
  await assertServes(to, ORDINARY);
  await assertOutlives(to, LIMITS);
});
