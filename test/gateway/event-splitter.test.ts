/** Guards against an event in tiny chunks, which was joined and searched anew with each of them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { EventSplitter } from '../../src/shell/gateway/event-splitter.js';

const EVENT_BYTES = 32_768;

/** Pushes a text in chunks of these sizes, in turn; returns what came out, and what remains. */
function split(text: string, sizes: readonly number[]): { complete: string; remainder: string } {
  const splitter = new EventSplitter();
  const bytes = Buffer.from(text);
  let complete = '';
  for (let start = 0, turn = 0; start < bytes.length; turn += 1) {
    const size = sizes[turn % sizes.length] ?? 1;
    complete += splitter.push(bytes.subarray(start, start + size)).toString();
    start += size;
  }
  return { complete, remainder: splitter.takeRemainder().toString() };
}

test('an event in chunks of one byte is copied a few times, however long it is', (context) => {
  const event = `data: ${'x'.repeat(EVENT_BYTES)}\n\n`;
  const concat = context.mock.method(Buffer, 'concat');
  assert.equal(split(event, [1]).complete, event);
  const joinedBytes = concat.mock.calls.reduce((sum, { result }) => sum + (result?.length ?? 0), 0);
  assert.ok(joinedBytes <= 4 * event.length, `${joinedBytes} bytes were joined`);
});

test('events are split as from one chunk, under any chunking', () => {
  const line = fc.constantFrom('id: 1', 'data: a', 'x', '');
  const end = fc.constantFrom('\n', '\r\n');
  const text = fc
    .array(fc.tuple(line, end), { maxLength: 30 })
    .map((lines) => lines.map(([content, lineEnd]) => content + lineEnd).join(''));
  const sizes = fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1, maxLength: 6 });
  fc.assert(
    fc.property(text, sizes, (written, chunkSizes) => {
      const { complete, remainder } = split(written, chunkSizes);
      assert.equal(complete + remainder, written);
      assert.equal(/\n\r?\n/.test(remainder), false, JSON.stringify(remainder));
    }),
  );
});
