/** Fleet files, child processes of a fleet, and the comparison of orders. */
import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { fleetPath } from '../../src/lab/commands/fleet-options.js';
import { loadFleet } from '../../src/lab/fleet/index.js';
import { compareOrders } from '../../src/lab/fleet/order-check.js';
import { PartProcess } from '../../src/lab/fleet/part-process.js';
import type { Outcome } from '../../src/lab/load/index.js';
import { createPlatformServer, DEFAULT_PLATFORM_OPTIONS } from '../../src/lab/platform/index.js';

const LAB = 'dist/src/lab/main.js';

function script(text: string): PartProcess {
  return new PartProcess({ name: 'part', command: ['-e', text], logFolder: null });
}

test('both bundled fleets load, and every API key of their workloads belongs to a tenant', () => {
  const sizes = { scanhuis: [4, 8, 4, 4], roasting: [3, 13, 3, 3] };
  for (const [name, size] of Object.entries(sizes)) {
    const { definition, configuration, workload } = loadFleet(fleetPath(name));
    const { zones, engines, webs, daemons } = definition;
    assert.deepEqual(
      [zones, engines, webs, daemons].map(({ length }) => length),
      size,
    );
    const digests = Object.values(configuration.tenants).flatMap((tenant) => tenant.keyDigests);
    for (const { name: source, apiKey } of workload.sources) {
      if (apiKey === undefined) assert.notEqual(configuration.anonymousTenant, null, source);
      else assert.ok(digests.includes(createHash('sha256').update(apiKey).digest('hex')), source);
    }
  }
});

test('errors in a fleet file are reported with the file and the key', () => {
  const folder = mkdtempSync(join(tmpdir(), 'threadfork-fleet-'));
  const path = join(folder, 'bad.yaml');
  const machines = 'engines: [{name: e, zone: b}]\ndaemons: [{name: e, zone: a}]\n';
  writeFileSync(path, `name: x\nzones: [a]\n${machines}configuration: c\nworkload: w\n`);
  assert.throws(
    () => loadFleet(path),
    /bad\.yaml: zones: e is in b[\s\S]*two machines have one name/,
  );
  rmSync(folder, { recursive: true });
});

test('a child process is ready after its ready line, and reports its exit and log', async () => {
  const good = script('console.log(JSON.stringify({ready:true,port:5}));setInterval(()=>{},1e6)');
  assert.deepEqual(await good.ready(), { ready: true, port: 5 });
  assert.deepEqual(await good.stop('SIGTERM', 5_000), { code: null, signal: 'SIGTERM' });
  const dying = script('console.error("no luck");process.exit(3)');
  await assert.rejects(dying.ready(), /part did not get ready:\n {2}no luck/);
  assert.deepEqual(await dying.exited, { code: 3, signal: null });
  const stubborn = script('process.on("SIGTERM",()=>{});console.log("{}");setInterval(()=>{},1e6)');
  await stubborn.ready();
  assert.equal((await stubborn.stop('SIGTERM', 10)).signal, 'SIGKILL');
});

test('machines register themselves, deregister at SIGTERM, and exit with code 0', async () => {
  const platform = await createPlatformServer(
    { address: '127.0.0.1', port: 0 },
    { ...DEFAULT_PLATFORM_OPTIONS, machineLagMs: 0 },
  );
  const common = ['--zone', 'z', '--platform', `127.0.0.1:${platform.port}`];
  const start = (name: string, ...rest: string[]) => {
    const command = [LAB, ...rest, '--name', name, '--leave-notice-ms', '0', ...common];
    return new PartProcess({ name, command, logFolder: null });
  };
  const parts = [start('e1', 'engine', '--model', 'm@1'), start('w1', 'web', '--service', 's')];
  await Promise.all(parts.map((part) => part.ready()));
  const names = () => platform.model.machines.read(performance.now()).machines.map((m) => m.name);
  assert.deepEqual(names(), ['e1', 'w1']);
  const exits = await Promise.all(parts.map((part) => part.stop('SIGTERM', 5_000)));
  assert.deepEqual(
    exits.map(({ code }) => code),
    [0, 0],
  );
  assert.deepEqual(names(), []);
  await platform.close();
});

test('the order check finds orders that ran twice, ran although refused, or never ran', () => {
  const refused: Outcome = { kind: 'refused', code: 'overloaded', retryAfterMs: null };
  const finished: Outcome = { kind: 'finished', outputTokens: 0 };
  const outcomes = new Map<string, Outcome>([
    ['good', finished],
    ['refused', refused],
    ['refused-run', refused],
    ['twice', finished],
    ['never', finished],
    ['unknown', { kind: 'unknown', code: 'UND_ERR_SOCKET' }],
  ]);
  const runs = new Map([
    ['good', 1],
    ['refused-run', 1],
    ['twice', 2],
    ['unknown', 1],
  ]);
  assert.deepEqual(compareOrders(outcomes, runs), {
    compared: 6,
    runTwice: 1,
    refusedButRun: 1,
    finishedButNotRun: 1,
  });
});
