/** Guards against a process that V8 ends at its heap limit, as an answer within its limit in bytes is parsed into millions of objects. */
import assert from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import { afterEach, test } from 'node:test';
import { PATHS } from '../../platform/names.js';
import { answer, RealGateway } from './support/real-gateway.js';

const WAIT_MS = 60_000;
const MAX_OLD_SPACE_MB = 96;
const MEMORY_MB = 350;
/** What is read of an answer of the store, and of cache events, at most. */
const ANSWER_BYTES = 4_194_304;
const ANSWERS = 4;
const PAGE_ROWS = 500;
/** Complete reads of a table, or pages, after which the process is taken to have outlived them. */
const READS = 6;
const PAGES = 2_000;

let gateway: RealGateway | undefined;

afterEach(() => gateway?.stop());

async function startGateway(): Promise<RealGateway> {
  const to = new RealGateway({ maxOldSpaceMb: MAX_OLD_SPACE_MB, memoryMb: MEMORY_MB });
  gateway = to;
  await to.start();
  return to;
}

/** JSON with a list of as many items as fit an answer. */
function listOf(item: string, before: string, after: string): Buffer {
  const count = Math.floor((ANSWER_BYTES - before.length - after.length) / (item.length + 1));
  return Buffer.from(`${before}${Array(count).fill(item).join(',')}${after}`);
}

async function assertServes(to: RealGateway): Promise<void> {
  assert.equal(to.end, undefined, to.output.slice(-2_000));
  to.serve = answer;
  const again = to.send({});
  await to.waitUntil(() => again.status !== undefined, WAIT_MS);
  assert.equal(again.status, 200, to.output.slice(-2_000));
}

/** Answers the store's calls with a body, and waits until some of these answers were taken. */
async function assertOutlivesStore(body: Buffer): Promise<void> {
  const to = await startGateway();
  let answered = 0;
  to.store.faults.spoil = (response: ServerResponse) => {
    response.once('close', () => {
      answered += 1;
    });
    response.writeHead(200, { 'Content-Type': 'application/json' }).end(body);
  };
  await to.waitUntil(() => answered >= ANSWERS, WAIT_MS);
  to.store.faults.spoil = undefined;
  await assertServes(to);
}

/** Answers polls for cache events with a body, and waits until some of these answers were taken. */
async function assertOutlivesCacheEvents(body: Buffer): Promise<void> {
  const to = await startGateway();
  let answered = 0;
  to.serveCall = (request, response) => {
    const isPoll = request.url?.startsWith(PATHS.kvEvents) === true;
    if (!isPoll) return response.writeHead(200).end();
    response.once('close', () => {
      answered += 1;
    });
    return response.writeHead(200).end(body);
  };
  await to.waitUntil(() => answered >= ANSWERS, WAIT_MS);
  await assertServes(to);
}

test('cache events of an engine, as many as fit an answer, do not end the process', async () => {
  await assertOutlivesCacheEvents(listOf('[]', '{"epoch":1,"nextToken":1,"events":[', ']}'));
});

test('cache events that are no lists, as many as fit an answer, do not end the process', async () => {
  await assertOutlivesCacheEvents(listOf('0', '{"epoch":1,"nextToken":1,"events":[', ']}'));
});

test("the store's rows without fields, as many as fit an answer, do not end the process", async () => {
  await assertOutlivesStore(listOf('{}', '{"ver":9,"rows":[', ']}'));
});

test("the store's rows of another table, as many as fit an answer, do not end the process", async () => {
  await assertOutlivesStore(listOf('{"table":"","privateKey":""}', '{"ver":9,"rows":[', ']}'));
});

test('pages of the store without end do not end the process', async () => {
  const to = await startGateway();
  let reads = 0;
  let pages = 0;
  to.store.dropHistory();
  const row = '{"table":"t","privateKey":"k","value":"e30="}';
  const body = `{"ver":9,"more":true,"rows":[${Array(PAGE_ROWS).fill(row).join(',')}]}`;
  to.store.faults.spoil = (response: ServerResponse) => {
    const { pathname, searchParams } = new URL(response.req.url ?? '/', 'http://store');
    if (pathname === PATHS.rowsFeed) return response.writeHead(410).end();
    if (!searchParams.has('source')) reads += 1;
    pages += 1;
    return response.writeHead(200).end(body);
  };
  await to.waitUntil(() => reads >= READS || pages >= PAGES, WAIT_MS);
  to.store.faults.spoil = undefined;
  await assertServes(to);
});
