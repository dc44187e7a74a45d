import assert from 'node:assert/strict';
import { readdirSync } from 'node:fs';
import { test } from 'node:test';
import { CATALOGUE, NUMBERS_PER_AREA } from '../../src/core/logging/catalogue/index.js';

test('event numbers are unique and lie in the range of their area', () => {
  const owners = new Map<number, string>();
  for (const area of CATALOGUE) {
    for (const [key, event] of Object.entries(area.events)) {
      const owner = `${area.name}.${key}`;
      const other = owners.get(event.number);
      assert.equal(other, undefined, `${owner} has the same number as ${other}`);
      const offset = event.number - area.firstNumber;
      assert.ok(
        offset >= 0 && offset < NUMBERS_PER_AREA,
        `the number of ${owner} lies outside the range of its area`,
      );
      owners.set(event.number, owner);
    }
  }
});

test('every event has a message and a remedy', () => {
  for (const event of CATALOGUE.flatMap((area) => Object.values(area.events))) {
    assert.ok(event.message.length > 0 && event.remedy.length > 0, String(event.number));
  }
});

test('every file of the catalogue is in its index', () => {
  const folder = new URL('../../../src/core/logging/catalogue/', import.meta.url);
  const files = readdirSync(folder).map((file) => file.replace(/\.ts$/, ''));
  const indexed = CATALOGUE.map((area) => area.name);
  const missing = files.filter((file) => file !== 'index' && !indexed.includes(file));
  assert.deepEqual(missing, [], 'add the area to catalogue/index.ts and run npm run docs');
});
