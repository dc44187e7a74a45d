/**
 * The version of this package, from package.json.
 */
import { readFileSync } from 'node:fs';
import { z } from 'zod';

const packageSchema = z.object({ version: z.string() });
// Relative to the compiled module under dist/, which is one folder deeper than the source.
const PACKAGE_FILE = new URL('../../../../package.json', import.meta.url);

/** Reads the version. */
export function packageVersion(): string {
  return packageSchema.parse(JSON.parse(readFileSync(PACKAGE_FILE, 'utf8'))).version;
}
