/** Events that a daemon sends, under any chunking. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { readText } from '../../src/cli/answer-body.js';
import { readEventData } from '../../src/cli/event-stream.js';
import { inSingleBytes, measureJoinedBytes } from '../bytes/support/joined-bytes.js';

const MEBIBYTE = 1_048_576;
const MAX_JOINED_BUFFERS = 64;

async function* sent(chunks: readonly Buffer[]): AsyncGenerator<Buffer> {
  yield* chunks;
}

async function dataOf(chunks: readonly Buffer[]): Promise<string[]> {
  const events: string[] = [];
  for await (const event of readEventData(sent(chunks))) events.push(event);
  return events;
}

/** Splits the bytes after each of these lengths, in turn. */
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

test('events are read under any chunking, with either end of lines', async () => {
  const text = fc.stringMatching(/^[a-zé☃]{1,8}$/);
  const lengths = fc.array(fc.integer({ min: 1, max: 12 }), { minLength: 1, maxLength: 6 });
  const lineEnd = fc.constantFrom('\n', '\r\n');
  const property = fc.asyncProperty(
    fc.array(fc.array(text, { minLength: 1, maxLength: 3 }), { maxLength: 5 }),
    lineEnd,
    lengths,
    async (events, end, sizes) => {
      const written = events.map(
        (lines) => lines.map((line) => `data: ${line}${end}`).join('') + end,
      );
      const chunks = inChunks(Buffer.from(written.join('')), sizes);
      assert.deepEqual(
        await dataOf(chunks),
        events.map((lines) => lines.join('\n')),
      );
    },
  );
  await fc.assert(property, { seed: 88, numRuns: 200 });
});

// Guards against a command that takes all memory as an event goes on.
test('an event without end is given up', async () => {
  const line = Buffer.from(`data: ${'x'.repeat(60_000)}\n`);
  const chunks = Array.from({ length: 40 }, () => line);
  await assert.rejects(dataOf(chunks), /an event has over 1048576 characters/);
});

// Guards against a command that splits all that it has of an event anew with each chunk.
test('an event in chunks of one byte is searched once', async (t) => {
  let searched = 0;
  const { split } = String.prototype;
  t.mock.method(String.prototype, 'split', function (this: string, by: string) {
    searched += this.length;
    return Reflect.apply(split, this, [by]);
  });
  const line = `data: ${'x'.repeat(50)}\n`;
  const event = `${line.repeat(400)}\n`;
  const [data] = await dataOf(inSingleBytes(Buffer.from(event)));
  assert.equal(data?.length, 400 * 51 - 1);
  assert.ok(searched <= 4 * event.length, `${searched} characters`);
});

test('an answer in chunks of one byte is not kept as an object for each byte', async (t) => {
  const joined = measureJoinedBytes(t);
  const text = 'x'.repeat(100_000);
  assert.equal(await readText(sent(inSingleBytes(Buffer.from(text)))), text);
  assert.ok(joined.mostBuffers <= MAX_JOINED_BUFFERS, `${joined.mostBuffers} Buffers`);
});

test('an answer without end is given up', async () => {
  const chunks = Array.from({ length: 65 }, () => Buffer.alloc(MEBIBYTE));
  await assert.rejects(readText(sent(chunks)), /the answer is over 67108864 bytes/);
});
