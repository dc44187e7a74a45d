/** docs/ERRORS.md and docs/CALLER-API.md match the code; Retry-After is rounded up. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { FAULT_STATUS, faultResponse } from '../../src/shell/http/fault-http.js';
import { DEFAULT_HTTP_LIMITS } from '../../src/shell/http/index.js';

function page(name: string): string {
  return readFileSync(new URL(`../../../docs/${name}`, import.meta.url), 'utf8');
}

test('ERRORS.md lists each code once with its status, and no other code', () => {
  const rows = [...page('ERRORS.md').matchAll(/^\| `([a-z-]+)` +\| (\d+) /gm)];
  const listed = rows.map((row) => `${row[1]} ${row[2]}`).sort();
  const known = Object.entries(FAULT_STATUS).map(([code, { status }]) => `${code} ${status}`);
  assert.deepEqual(listed, known.sort());
});

test('CALLER-API.md lists exactly the HTTP limits', () => {
  const rows = [...page('CALLER-API.md').matchAll(/^\| `([A-Za-z]+)` +\| [\d,]+ /gm)];
  assert.deepEqual(rows.map((row) => row[1]).sort(), Object.keys(DEFAULT_HTTP_LIMITS).sort());
});

test('Retry-After is rounded up to full seconds and is never 0', () => {
  const fault = { code: 'overloaded', message: 'm', retryable: true, outcome: 'unknown' } as const;
  const seconds = (retryAfterMs: number): string | undefined =>
    faultResponse({ ...fault, retryAfterMs }).headers['retry-after'];
  assert.deepEqual([seconds(0), seconds(1), seconds(1_000), seconds(1_001)], ['1', '1', '1', '2']);
});
