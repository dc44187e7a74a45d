/** Counting the values of JSON texts before they are parsed. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { countJsonValues } from '../../src/shell/bytes/index.js';

test('lists, objects and commas are counted', () => {
  const countOf = (text: string) => countJsonValues(Buffer.from(text));
  assert.equal(countOf('[{},{"a":[1,2]}]'), 6);
  assert.equal(countOf('"text"'), 0);
  assert.equal(countOf(''), 0);
});
