/**
 * Lists of servers among which another writer has left many entries, or long ones: they were no longer followed, or the
 * daemons that read them ended without memory.
 */
import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { afterEach, beforeEach, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { TABLES } from '../../platform/names.js';
import { ENTRY_EVENTS } from '../../src/core/logging/catalogue/entries.js';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { configuration, GatewayFixture, route } from './support/fixture.js';
import { answering } from './support/server-stand-in.js';

const ROW_BYTES = 65_536;
const LIST_READER = fileURLToPath(new URL('./support/list-reader.js', import.meta.url));
const HEAP_MB = 48;
/** The most entries that the log names. */
const MAX_NAMED_ENTRIES = 100;
/** Ends a test whose awaited log line never comes. */
const MAX_TEST_MS = 20_000;

/** Entries of other writers, as long as the store accepts them. */
const LONG_ENTRIES = {
  'a long text': Buffer.from(JSON.stringify('x'.repeat(ROW_BYTES - 2))),
  'very deep nesting': Buffer.from('['.repeat(ROW_BYTES / 2) + ']'.repeat(ROW_BYTES / 2)),
  'a long name': Buffer.from(
    JSON.stringify({
      service: 'x'.repeat(ROW_BYTES - 200),
      address: '127.0.0.1:9',
      zone: 'a',
      slots: 6,
      state: 'ready',
    }),
  ),
  'thousands of objects': Buffer.from(`[${Array(20_000).fill('{}').join()}]`),
} as const;

const entries = (count: number, value: Buffer) =>
  Array.from({ length: count }, (_, index) => [`i-odd-${index}`, value] as const);

let fixture: GatewayFixture;

beforeEach(() => {
  fixture = new GatewayFixture();
});

afterEach(() => fixture.stop());

async function startWithServer(): Promise<void> {
  await fixture.start();
  fixture.store.putConfiguration(configuration(1, [route({})]));
  await fixture.addServer('i-1', answering(200, 'first'));
  await fixture.logged(GATEWAY_EVENTS.serverAdded, ({ server }) => server === 'i-1');
}

/** Replaces the only server, and checks that requests go to the new one. */
async function assertFollowed(): Promise<void> {
  await fixture.addServer('i-2', answering(200, 'second'));
  fixture.store.remove(TABLES.servers, 'i-1');
  await fixture.logged(GATEWAY_EVENTS.serverRemoved, ({ server }) => server === 'i-1');
  assert.equal((await fixture.call({ path: '/tiles/1' })).body, 'second');
  assert.equal(
    fixture.lines.find(({ event }) => event === GATEWAY_EVENTS.internalFault),
    undefined,
  );
}

// Guards against a change feed whose answer exceeds the longest answer, and which was asked for again and again.
test('a list is followed after a change that is too long for one answer', {
  timeout: MAX_TEST_MS,
}, async () => {
  await startWithServer();
  fixture.store.putAll(TABLES.servers, entries(300, LONG_ENTRIES['a long text']));
  await assertFollowed();
});

// Guards against requests that wait while one answer with tens of thousands of rows is decoded.
test('a change of thousands of rows is read page by page', { timeout: MAX_TEST_MS }, async () => {
  await startWithServer();
  fixture.store.putAll(TABLES.servers, entries(4_000, Buffer.from('{}')));
  await fixture.logged(ENTRY_EVENTS.changesTooLong, ({ table }) => table === TABLES.servers);
  await assertFollowed();
});

/** The number of rows that a process with a small heap reads. */
async function readInLittleMemory(...prefix: readonly string[]): Promise<string> {
  const { port } = await fixture.store.start();
  const flags = [`--max-old-space-size=${HEAP_MB}`, LIST_READER, String(port), ...prefix];
  const { stdout } = await promisify(execFile)(process.execPath, flags);
  return stdout;
}

for (const [problem, value] of Object.entries(LONG_ENTRIES)) {
  // Guards against the end of the process by its heap's limit: all rows were kept until the last page.
  test(`a list with hundreds of entries with ${problem} is read in little memory`, async () => {
    fixture.store.putAll(TABLES.servers, entries(800, value));
    assert.equal(await readInLittleMemory(), '800');
  });

  // Guards against the same for rows among those of daemons and of quarantined requests.
  test(`hundreds of the product's rows with ${problem} are read in little memory`, async () => {
    fixture.store.putAll(TABLES.product, entries(800, value));
    assert.equal(await readInLittleMemory('i-odd-'), '800');
  });
}

// Guards against a log in which nothing but such entries can be found.
test('thousands of unusable entries are not named one by one, at no read of the list', async () => {
  await startWithServer();
  fixture.store.putAll(TABLES.servers, entries(3_000, Buffer.from('{}')));
  fixture.store.forgetHistory();
  await assertFollowed();
  const lines = fixture.lines.filter(({ event }) => event === GATEWAY_EVENTS.serverMalformed);
  assert.ok(lines.length <= MAX_NAMED_ENTRIES, `${lines.length} lines`);
});
