/** Frames between daemons under any chunking. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createAuthenticator } from '../../src/shell/peer/authentication.js';
import { FrameReader, FrameWriter, NONCE_BYTES } from '../../src/shell/peer/frames.js';
import { inSingleBytes, measureJoinedBytes } from '../bytes/support/joined-bytes.js';

const AUTHENTICATOR = createAuthenticator('a fleet key for tests only');
const NONCE = Buffer.alloc(NONCE_BYTES, 3);
const LARGE_CONTENT_BYTES = 262_144;
const MAX_JOINED_BUFFERS = 32;

function written(contents: readonly Buffer[]): Buffer {
  const writer = new FrameWriter(AUTHENTICATOR, NONCE);
  return Buffer.concat(contents.map((content) => writer.write(content)));
}

/** The contents of the frames in these chunks; fails if the reader finds them broken. */
function read(chunks: readonly Buffer[]): Buffer[] {
  const reader = new FrameReader(AUTHENTICATOR, NONCE);
  return chunks.flatMap((chunk) => {
    const outcome = reader.read(chunk);
    assert.equal(outcome.kind, 'frames');
    return outcome.kind === 'frames' ? outcome.contents : [];
  });
}

function inChunks(bytes: Buffer, lengths: readonly number[]): Buffer[] {
  const chunks: Buffer[] = [];
  let start = 0;
  for (let index = 0; start < bytes.length; index += 1) {
    const end = start + (lengths[index % lengths.length] ?? bytes.length);
    chunks.push(bytes.subarray(start, end));
    start = end;
  }
  return chunks;
}

test('frames arrive as they were written under any chunking', () => {
  const content = fc.uint8Array({ maxLength: 80 }).map((bytes) => Buffer.from(bytes));
  const lengths = fc.array(fc.integer({ min: 1, max: 120 }), { minLength: 1, maxLength: 8 });
  const property = fc.property(fc.array(content, { maxLength: 6 }), lengths, (contents, sizes) => {
    assert.deepEqual(read(inChunks(written(contents), sizes)), contents);
  });
  fc.assert(property, { seed: 88, numRuns: 300 });
});

test('a byte that is changed in any place breaks the frames from there on', () => {
  const contents = [Buffer.from('first'), Buffer.from('second')];
  const bytes = written(contents);
  for (let place = 0; place < bytes.length; place += 1) {
    const changed = Buffer.from(bytes);
    changed.writeUInt8(changed.readUInt8(place) ^ 1, place);
    const reader = new FrameReader(AUTHENTICATOR, NONCE);
    const outcomes = inSingleBytes(changed).map((chunk) => reader.read(chunk));
    const broken = outcomes.find(({ kind }) => kind === 'broken');
    assert.deepEqual(broken, { kind: 'broken', reason: 'unauthenticated' });
  }
});

// Guards against a daemon that V8 ends at its heap limit, as a peer sends a frame in small pieces.
test('a frame that arrives byte by byte is not kept as an object for each byte', (t) => {
  const content = Buffer.alloc(LARGE_CONTENT_BYTES, 'x');
  const chunks = inSingleBytes(written([content]));
  const joined = measureJoinedBytes(t);
  assert.deepEqual(read(chunks), [content]);
  assert.ok(joined.mostBuffers <= MAX_JOINED_BUFFERS, `${joined.mostBuffers} Buffers`);
  assert.ok(joined.copiedBytes <= 4 * content.length, `${joined.copiedBytes} bytes copied`);
});
