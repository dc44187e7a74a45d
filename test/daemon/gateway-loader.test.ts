/** The loader runs the gateway bundle whether or not its precompiled code is usable. */
import assert from 'node:assert/strict';
import { copyFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import type { Script } from 'node:vm';
import { PROCESS_EVENTS } from '../../src/core/logging/catalogue/process.js';

interface Loader {
  readonly COMPILED: string;
  loadBundle(): { readonly script: Script; readonly exports: { readonly answer: () => number } };
}

const requireFile = createRequire(import.meta.url);

/** Runs `run` with a loader and a small bundle in a temporary folder. */
function withLoader(run: (loader: Loader, bundle: string) => void): void {
  const folder = mkdtempSync(join(tmpdir(), 'threadfork-loader-'));
  try {
    copyFileSync('scripts/gateway-loader.cjs', join(folder, 'gateway.cjs'));
    const bundle = join(folder, 'gateway.HASH.js');
    writeFileSync(bundle, 'exports.answer = () => 42;');
    run(requireFile(join(folder, 'gateway.cjs')) as Loader, bundle);
  } finally {
    rmSync(folder, { recursive: true });
  }
}

test('a bundle without a file of compiled code runs', () => {
  withLoader(({ loadBundle }) => assert.equal(loadBundle().exports.answer(), 42));
});

test('a file that is not compiled code is rejected and the bundle runs from source', () => {
  withLoader(({ loadBundle, COMPILED }, bundle) => {
    writeFileSync(bundle, 'exports.answer = () => 43;');
    writeFileSync(COMPILED, 'not compiled code');
    const loaded = loadBundle();
    assert.equal(loaded.script.cachedDataRejected, true);
    assert.equal(loaded.exports.answer(), 43);
  });
});

test('the line on the start of the process is the one of the catalogue', () => {
  const { number, level, message } = PROCESS_EVENTS.processStarted;
  const loader = readFileSync('scripts/gateway-loader.cjs', 'utf8');
  for (const part of [`event: ${number},`, `level: '${level}',`, `msg: '${message}',`]) {
    assert.ok(loader.includes(part), part);
  }
});
