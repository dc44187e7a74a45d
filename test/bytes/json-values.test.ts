/** Counting the values of JSON texts before they are parsed. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ANSWER_READING, countJsonValues } from '../../src/shell/bytes/index.js';

test('lists, objects and commas are counted', () => {
  const countOf = (text: string) => countJsonValues(Buffer.from(text));
  assert.equal(countOf('[{},{"a":[1,2]}]'), 6);
  assert.equal(countOf('"text"'), 0);
  assert.equal(countOf(''), 0);
});

test('an answer is too long by its values in all chunks, and is joined in order', () => {
  const collected = ANSWER_READING.createCollector();
  for (const part of ['[{}', ',{"a":', '[1,2]}]']) collected.add(Buffer.from(part));
  assert.equal(collected.isTooLong, false);
  assert.equal(collected.join().toString(), '[{},{"a":[1,2]}]');
  for (let chunk = 0; chunk < 40; chunk += 1) collected.add(Buffer.from('[]'.repeat(1_000)));
  assert.equal(collected.isTooLong, true);
});
