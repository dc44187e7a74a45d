/** The loader runs the gateway bundle whether or not its precompiled code is usable. */
import assert from 'node:assert/strict';
import { copyFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import type { Script } from 'node:vm';

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
