/**
 * Guards against a soak that ends with an error of its own: output of a daemon that arrived after its process had exited
 * was written to a log file that was closed already. Also guards against daemons that outlive a soak that was killed, and call
 * ports that later runs are given.
 */
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { type TestContext, test } from 'node:test';
import { GatewayProcess } from '../../soak/gateway-process.js';
import { pause } from '../../soak/pause.js';

/** More than is read at once, so that the rest is still in the pipe when the process has exited. */
const OUTPUT_BYTES = 120_000;
const SLOW_TURN_MS = 50;

/** Makes each turn of the event loop as long as on a busy machine, until `end` is called. */
function slowDown(): { end(): void } {
  let isSlow = true;
  const turn = () => {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, SLOW_TURN_MS);
    if (isSlow) setImmediate(turn);
  };
  setImmediate(turn);
  return {
    end: () => {
      isSlow = false;
    },
  };
}

/** A daemon that runs a program, and its directory, which is removed when the test is over. */
function daemonOf(context: TestContext, programText: string): [GatewayProcess, string] {
  const directory = mkdtempSync(join(tmpdir(), 'gateway-process-'));
  context.after(() => rmSync(directory, { recursive: true }));
  const program = join(directory, 'program.cjs');
  writeFileSync(program, programText);
  const daemon = new GatewayProcess({
    name: 'daemon-a-0',
    zone: 'a',
    host: '127.0.0.1',
    storePort: 1,
    dutyPort: 1,
    program,
    earlierProgram: undefined,
    machine: undefined,
    directory,
    bounds: {
      contactMs: 3_000,
      graceMs: 8_000,
      configApplyMs: 2_000,
      drainMs: 2_000,
      lossSlackMs: 200,
      budgetRatio: 0.2,
      budgetSlack: 4,
      budgetWindowMs: 10_000,
    },
  });
  return [daemon, directory];
}

test("a daemon's log has all its output, also what is read after the process has exited", async (context) => {
  const [daemon, directory] = daemonOf(
    context,
    `process.stdout.write('x'.repeat(${OUTPUT_BYTES})); process.exit();`,
  );
  const slowness = slowDown();
  daemon.start();
  await daemon.ended();
  await daemon.logged();
  slowness.end();
  const text = readFileSync(join(directory, 'daemon-a-0.log'), 'utf8');
  assert.equal(text.length, OUTPUT_BYTES);
});

// Guards against an early SIGHUP that ends a daemon unseen.
for (const [when, cause, firstStep] of [
  ['as it reads its program', 'own', "require('node:fs').readFileSync(process.argv[2]);"],
  ['before it reads its program', 'before-code', ''],
] as const) {
  test(`the end of a daemon by a SIGHUP ${when} is told apart`, async (context) => {
    const waits =
      "require('node:fs').writeFileSync(__dirname + '/waits', ''); setInterval(() => {}, 1_000);";
    const [daemon, directory] = daemonOf(context, `${firstStep} ${waits}`);
    daemon.start();
    while (!existsSync(join(directory, 'waits'))) await pause(1);
    daemon.signal('SIGHUP');
    await daemon.ended();
    await daemon.logged();
    assert.equal(daemon.lives[0]?.end?.cause, cause);
  });
}

test('a daemon ends with the process that started it', { timeout: 10_000 }, async () => {
  const module = JSON.stringify(new URL('../../soak/end-with-parent.js', import.meta.url).href);
  const script = `import(${module}).then(({ endWithParent }) => { endWithParent(); setInterval(() => {}, 1000); });`;
  const daemon = spawn(process.execPath, ['-e', script], { stdio: ['pipe', 'ignore', 'inherit'] });
  await once(daemon, 'spawn');
  daemon.stdin?.end();
  const [, signal] = (await once(daemon, 'exit')) as [unknown, NodeJS.Signals | null];
  assert.equal(signal, 'SIGKILL');
});
