/** Answers of the platform that hold one odd entry. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { createPlatformClient, type PlatformClient } from '../../src/shell/platform/index.js';

/** Deeper than the stack of a recursive reader. */
const DEEP = '['.repeat(100_000) + ']'.repeat(100_000);
const MACHINE = {
  kind: 'engine',
  name: 'e-1',
  zone: 'a',
  state: 'live',
  address: '127.0.0.1',
  port: 9,
  accelerator: 'new',
};

const ODD_MACHINES: Readonly<Record<string, string>> = {
  'a port out of range': JSON.stringify({ ...MACHINE, name: 'odd', port: 70_000 }),
  'a port beyond all numbers': JSON.stringify({ ...MACHINE, name: 'odd', port: '@' }).replace(
    '"@"',
    '1e400',
  ),
  'an address that is none': JSON.stringify({ ...MACHINE, name: 'odd', address: 'nowhere' }),
  'an unknown kind': JSON.stringify({ ...MACHINE, name: 'odd', kind: 'other' }),
  'very deep nesting': DEEP,
  'no value': 'null',
};

/** Calls a platform that answers each call with a body. */
async function withPlatform(
  body: string,
  use: (platform: PlatformClient) => Promise<void>,
): Promise<void> {
  const server = createServer((request, response) => {
    request.resume();
    response.end(body);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const platform = createPlatformClient({ address: '127.0.0.1', port, timeoutMs: 5_000 });
  try {
    await use(platform);
  } finally {
    await platform.close();
    server.close();
  }
}

for (const [problem, odd] of Object.entries(ODD_MACHINES)) {
  // Guards against a list of machines that is not followed any more because of one of them.
  test(`a machine with ${problem} is passed over, and the others are listed`, async () => {
    const body = `{"ageMs":0,"machines":[${odd},${JSON.stringify(MACHINE)}]}`;
    await withPlatform(body, async (platform) => {
      const list = (await platform.machines())._unsafeUnwrap();
      assert.deepEqual(
        list.machines.map(({ name }) => name),
        ['e-1'],
      );
    });
  });
}

// Guards against the end of the process by an unhandled rejection.
test('a row with a very deeply nested value is read', async () => {
  const body = `{"rows":[{"key":"a","version":1,"value":${DEEP}}]}`;
  await withPlatform(body, async (platform) => {
    const result = await platform.table({ kind: 'get', keys: ['a'] });
    assert.equal(result.kind, 'rows');
  });
});
