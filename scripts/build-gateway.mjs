/** Bundles the gateway's program into `target/gateway.cjs`: one file starts fastest. */
import { build } from 'esbuild';

await build({
  entryPoints: ['src/daemon/gateway-main.ts'],
  outfile: 'target/gateway.cjs',
  bundle: true,
  minify: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'warning',
});
