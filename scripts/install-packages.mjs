/**
 * Installs the packages of package-lock.json, unless exactly these are there and the bundler among them runs on this
 * machine. A folder of packages may have been copied here from a machine with another processor, whose programs do not run.
 */
import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';

const LOCK_FILE = 'package-lock.json';
/** What npm has installed, as npm wrote it down. */
const INSTALLED_FILE = 'node_modules/.package-lock.json';
const TRY_BUNDLER = "require('esbuild').transformSync('')";

function readPackages(path) {
  try {
    return JSON.parse(readFileSync(path, 'utf8')).packages;
  } catch {
    return undefined;
  }
}

/** Packages that depend on the kind of machine are optional; whether the right ones are there shows when they run. */
function missingPackages() {
  const installed = readPackages(INSTALLED_FILE) ?? {};
  return Object.entries(readPackages(LOCK_FILE) ?? {})
    .filter(([path, { optional }]) => path !== '' && optional !== true)
    .filter(([path, { integrity }]) => installed[path]?.integrity !== integrity)
    .map(([path]) => path);
}

function bundlerProblem() {
  try {
    execFileSync(process.execPath, ['-e', TRY_BUNDLER], { stdio: ['ignore', 'ignore', 'pipe'] });
    return undefined;
  } catch (error) {
    return error instanceof Error ? error.message : String(error);
  }
}

function whyInstall() {
  const missing = missingPackages();
  if (missing.length > 0) return `${missing.length} packages are not as in ${LOCK_FILE}`;
  return bundlerProblem();
}

const reason = whyInstall();
if (reason !== undefined) {
  process.stderr.write(`installing packages: ${reason}\n`);
  execFileSync('npm', ['ci', '--no-audit', '--no-fund', '--silent'], { stdio: 'inherit' });
}
