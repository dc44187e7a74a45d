/**
 * Compiles all of the code of a bundled gateway beside its loader. Run with the flags of the processes that are to use it:
 *
 *     node FLAGS scripts/compile-gateway.mjs LOADER
 */
import { renameSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { setFlagsFromString } from 'node:v8';

/** Another name first, then renamed: a process that starts meanwhile finds a whole file. */
export function replaceFile(path, content) {
  const temporary = `${path}.${process.pid}`;
  writeFileSync(temporary, content);
  renameSync(temporary, path);
}

/** Runs the bundle of a loader, and keeps its code as compiled. */
export function compileGateway(loader) {
  // Functions are compiled when they are first called, unless told otherwise. The flag is set back before the code is
  // kept: V8 takes compiled code only from a run with the same flags.
  setFlagsFromString('--no-lazy');
  const { loadBundle, COMPILED } = createRequire(import.meta.url)(resolve(loader));
  const { script } = loadBundle();
  setFlagsFromString('--lazy');
  replaceFile(COMPILED, script.createCachedData());
}

if (process.argv[1] === fileURLToPath(import.meta.url)) compileGateway(process.argv[2]);
