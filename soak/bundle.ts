/**
 * Builds the gateway's program for a run as it is deployed (loader, bundle and compiled code), with one mutation applied if
 * the run requests it.
 */
import { execFileSync } from 'node:child_process';
import { createHash } from 'node:crypto';
import { readFileSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build, type Plugin } from 'esbuild';
import { NODE_FLAGS } from './gateway-process.js';
import type { Mutation, SourceEdit } from './mutations.js';

const PROJECT_ROOT = fileURLToPath(new URL('../..', import.meta.url));
const LOADER = resolve(PROJECT_ROOT, 'scripts/gateway-loader.cjs');
const COMPILER = resolve(PROJECT_ROOT, 'scripts/compile-gateway.mjs');

/** Contents of source files by their paths, for files that a mutation changes. */
type Contents = ReadonlyMap<string, string>;

/** @returns the path of the program's loader */
export async function bundleGateway(
  directory: string,
  mutation: Mutation | undefined,
): Promise<string> {
  const changed = mutation === undefined ? new Map<string, string>() : mutatedFiles(mutation);
  const source = await bundle(changed);
  const hash = createHash('sha256').update(source).digest('hex').slice(0, 16);
  writeFileSync(join(directory, `gateway.${hash}.js`), source);
  const loader = changed.get(LOADER) ?? readFileSync(LOADER, 'utf8');
  const program = join(directory, 'gateway.cjs');
  writeFileSync(program, loader.replaceAll('HASH', hash));
  execFileSync(process.execPath, [...NODE_FLAGS, COMPILER, program]);
  return program;
}

async function bundle(changed: Contents): Promise<Uint8Array> {
  const { outputFiles } = await build({
    entryPoints: [join(PROJECT_ROOT, 'soak/gateway-program.ts')],
    write: false,
    bundle: true,
    minify: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    logLevel: 'warning',
    plugins: [contentsPlugin(changed)],
  });
  const [output] = outputFiles;
  if (output === undefined) throw new Error('the bundler has written no file');
  return output.contents;
}

function mutatedFiles(mutation: Mutation): Contents {
  const contents = new Map<string, string>();
  for (const edit of [mutation, ...(mutation.also ?? [])]) {
    const path = resolve(PROJECT_ROOT, edit.file);
    const source = contents.get(path) ?? readFileSync(path, 'utf8');
    contents.set(path, edited(mutation.name, source, edit));
  }
  return contents;
}

function contentsPlugin(contents: Contents): Plugin {
  return {
    name: 'mutation',
    setup: (setup) => {
      setup.onLoad({ filter: /\.ts$/ }, ({ path }) => {
        const changed = contents.get(path);
        return changed === undefined ? undefined : { contents: changed, loader: 'ts' };
      });
    },
  };
}

function edited(name: string, source: string, { file, text, replacement }: SourceEdit): string {
  if (source.split(text).length !== 2) {
    throw new Error(
      `mutation ${name}: its text must occur exactly once in ${file}; update the text`,
    );
  }
  return source.replace(text, () => replacement);
}
