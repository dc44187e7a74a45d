/** Nothing started, as the build took packages that were copied from a machine with another processor for its own. */
import assert from 'node:assert/strict';
import { execFileSync } from 'node:child_process';
import {
  chmodSync,
  copyFileSync,
  cpSync,
  existsSync,
  mkdirSync,
  mkdtempSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { afterEach, beforeEach, test } from 'node:test';

const SCRIPT = resolve('scripts/install-packages.mjs');
const PACKAGES = resolve('node_modules');

let folder = '';

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'threadfork-install-'));
  // Stands in for npm and leaves a file where it was called.
  const npm = join(folder, 'npm');
  writeFileSync(npm, '#!/bin/sh\ntouch installed\n');
  chmodSync(npm, 0o755);
});

afterEach(() => rmSync(folder, { recursive: true }));

/** Whether the script calls npm in a folder. */
function installs(cwd: string): boolean {
  const env = { ...process.env, PATH: `${folder}:${process.env.PATH}` };
  execFileSync(process.execPath, [SCRIPT], { cwd, env, stdio: 'ignore' });
  const marker = join(cwd, 'installed');
  const isInstalled = existsSync(marker);
  rmSync(marker, { force: true });
  return isInstalled;
}

/** A checkout with the list of what npm installed, but only these packages. */
function checkoutWith(packages: readonly string[]): string {
  const checkout = join(folder, 'checkout');
  mkdirSync(join(checkout, 'node_modules'), { recursive: true });
  copyFileSync('package-lock.json', join(checkout, 'package-lock.json'));
  for (const name of ['.package-lock.json', ...packages]) {
    cpSync(join(PACKAGES, name), join(checkout, 'node_modules', name), { recursive: true });
  }
  return checkout;
}

test('packages that are there and run are not installed again', () => {
  assert.equal(installs(checkoutWith(['esbuild', '@esbuild'])), false);
});

test('packages whose bundler is for another processor are installed again', () => {
  // As on the other kind of machine: the bundler's program for this one is not there.
  assert.equal(installs(checkoutWith(['esbuild'])), true);
});

test('packages of another lock file are installed again', () => {
  const checkout = checkoutWith(['esbuild', '@esbuild']);
  writeFileSync(join(checkout, 'node_modules/.package-lock.json'), '{"packages":{}}');
  assert.equal(installs(checkout), true);
});

test('packages are installed where there are none', () => {
  const checkout = checkoutWith([]);
  rmSync(join(checkout, 'node_modules'), { recursive: true });
  assert.equal(installs(checkout), true);
});
