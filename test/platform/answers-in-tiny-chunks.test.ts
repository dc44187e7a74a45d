/** Guards against a daemon that V8 ends at its heap limit, as the store sends its answers in small chunks. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { type TestContext, test } from 'node:test';
import { createPlatformClient, type PlatformClient } from '../../src/shell/platform/index.js';
import { inTinyChunks, measureJoinedBytes } from '../bytes/support/joined-bytes.js';

const TIMEOUT_MS = 60_000;
const OBJECT_BYTES = 262_144;
const MAX_JOINED_BUFFERS = 32;

/** A store that answers each call with these bytes. */
async function startStore(context: TestContext, answer: string): Promise<PlatformClient> {
  const server = createServer((socket) => {
    socket.on('error', () => socket.destroy());
    socket.once('data', () => socket.write(answer));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  const port = typeof address === 'object' && address !== null ? address.port : 0;
  const platform = createPlatformClient({ address: '127.0.0.1', port, timeoutMs: TIMEOUT_MS });
  context.after(async () => {
    await platform.close();
    server.close();
  });
  return platform;
}

test('an object in chunks of one byte is not kept as an object for each byte', async (t) => {
  const joined = measureJoinedBytes(t);
  const content = 'x'.repeat(OBJECT_BYTES);
  const head = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
  const platform = await startStore(t, head + inTinyChunks(content));
  const read = (await platform.getObject('configuration'))._unsafeUnwrap();
  assert.equal(Buffer.from(read ?? []).toString(), content);
  assert.ok(joined.mostBuffers <= MAX_JOINED_BUFFERS, `${joined.mostBuffers} Buffers`);
});
