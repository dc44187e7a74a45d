/** Runs a model server as a process of its own, which a case can kill; tells its parent its port and what it runs. */
import { Engine } from './engine.mjs';

const { id, gapMs, unframed } = JSON.parse(process.argv[2] ?? '{}');
const engine = new Engine({
  id,
  gapMs,
  isUnframed: ({ headers }) => unframed.includes(headers['x-attempt-id']),
  onRun: (run) => process.send?.({ run }),
});
const port = await engine.open();
process.send?.({ port });
process.on('disconnect', () => process.exit());
