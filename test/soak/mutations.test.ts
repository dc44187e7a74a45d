/** Guards against a mutation that no longer applies: the text that it replaces had been reworded, and its promise went unproved. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { MUTATIONS } from '../../soak/mutations.js';

test('each mutation finds the text that it replaces exactly once', () => {
  for (const mutation of MUTATIONS) {
    for (const { file, text } of [mutation, ...(mutation.also ?? [])]) {
      const found = readFileSync(file, 'utf8').split(text).length - 1;
      assert.equal(found, 1, `${mutation.name}: ${file}`);
    }
  }
});
