/** Bundles the gateway program for a run, with one mutation applied if the run requests it. */
import { readFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build, type Plugin } from 'esbuild';
import type { Mutation } from './mutations.js';

const PROJECT_ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** @returns the path of the bundled program */
export async function bundleGateway(
  directory: string,
  mutation: Mutation | undefined,
): Promise<string> {
  const outfile = join(directory, 'gateway.cjs');
  await build({
    entryPoints: [join(PROJECT_ROOT, 'soak/gateway-program.ts')],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    logLevel: 'warning',
    plugins: mutation === undefined ? [] : [mutationPlugin(mutation)],
  });
  return outfile;
}

function mutationPlugin({ name, file, text, replacement }: Mutation): Plugin {
  const path = resolve(PROJECT_ROOT, file);
  const source = readFileSync(path, 'utf8');
  if (source.split(text).length !== 2) {
    throw new Error(
      `mutation ${name}: its text must occur exactly once in ${file}; update the text`,
    );
  }
  return {
    name: 'mutation',
    setup: (setup) => {
      setup.onLoad({ filter: new RegExp(`${file.split('/').at(-1)}$`) }, (loaded) =>
        loaded.path === path
          ? { contents: source.replace(text, () => replacement), loader: 'ts' }
          : undefined,
      );
    },
  };
}
