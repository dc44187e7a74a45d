/** Bundles the gateway program for a run, with one mutation applied if the run requests it. */
import { readFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build, type Plugin } from 'esbuild';
import type { Mutation, SourceEdit } from './mutations.js';

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

function mutationPlugin(mutation: Mutation): Plugin {
  const contents = new Map<string, string>();
  for (const edit of [mutation, ...(mutation.also ?? [])]) {
    const path = resolve(PROJECT_ROOT, edit.file);
    const source = contents.get(path) ?? readFileSync(path, 'utf8');
    contents.set(path, edited(mutation.name, source, edit));
  }
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
