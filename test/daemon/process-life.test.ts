/** A daemon's process ended by itself, or did not start, for a signal, a port or a file that only came at the wrong moment. */
import assert from 'node:assert/strict';
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { openSync, rmSync, writeFileSync } from 'node:fs';
import { type AddressInfo, createServer } from 'node:net';
import { after, afterEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { PROCESS_EVENTS } from '../../src/core/logging/catalogue/process.js';
import { GatewayProgram, type ListenerPorts, settingsText } from './support/gateway-program.js';

const HOST = '127.0.0.1';
const TIMEOUT = { timeout: 20_000 };
const STOPPED = { exitCode: 0, signal: null };
/** How a problem with a file as a whole names its setting. */
const WHOLE_FILE = '(the whole file)';

const program = new GatewayProgram();
afterEach(() => program.killAll());
after(() => program.remove());

/** A port that a listener of this test has, until it is released. */
interface HeldPort {
  readonly port: number;
  release(): Promise<unknown>;
}

async function holdStreamPort(): Promise<HeldPort> {
  const server = createServer().listen(0, HOST);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return { port, release: () => once(server.close(), 'close') };
}

async function holdDatagramPort(): Promise<HeldPort> {
  const socket = createSocket('udp4');
  socket.bind(0, HOST);
  await once(socket, 'listening');
  return { port: socket.address().port, release: () => once(socket.close(), 'close') };
}

test(
  'a reload that is requested before the program is loaded does not end the process',
  TIMEOUT,
  async () => {
    const daemon = program.start();
    await daemon.logged(PROCESS_EVENTS.processStarted);
    daemon.signal('SIGHUP');
    await daemon.logged(GATEWAY_EVENTS.settingsReloaded);
  },
);

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  test(`${signal} before the program is loaded is a stop`, TIMEOUT, async () => {
    const daemon = program.start();
    await daemon.logged(PROCESS_EVENTS.processStarted);
    daemon.signal(signal);
    assert.deepEqual(await daemon.ended, STOPPED);
  });
}

for (const [first, second] of [
  ['SIGTERM', 'SIGTERM'],
  ['SIGTERM', 'SIGINT'],
  ['SIGINT', 'SIGTERM'],
] as const) {
  test(
    `${second} during the stop that ${first} began does not cut the stop short`,
    TIMEOUT,
    async () => {
      const daemon = program.start();
      await daemon.logged(GATEWAY_EVENTS.started);
      daemon.signal(first);
      await daemon.logged(GATEWAY_EVENTS.stopping);
      daemon.signal(second);
      await daemon.logged(GATEWAY_EVENTS.stopped);
      assert.deepEqual(await daemon.ended, STOPPED);
    },
  );
}

for (const listener of ['callers', 'readiness', 'metrics', 'peers'] as const) {
  test(
    `a port for ${listener} that is taken at the start is listened on once it is free`,
    TIMEOUT,
    async () => {
      const held = await holdStreamPort();
      const ports: ListenerPorts = { [listener]: held.port };
      const daemon = program.start(program.writeSettings(settingsText(ports)));
      await daemon.logged(PROCESS_EVENTS.portAwaited, (line) => line.listener === listener);
      await held.release();
      await daemon.logged(PROCESS_EVENTS.portOpened, (line) => line.listener === listener);
      await daemon.logged(GATEWAY_EVENTS.started);
    },
  );
}

test(
  'a port for datagrams that is taken at the start is used once it is free',
  TIMEOUT,
  async () => {
    const held = await holdDatagramPort();
    const daemon = program.start(program.writeSettings(settingsText({ peers: held.port })));
    await daemon.logged(PROCESS_EVENTS.portAwaited, (line) => line.listener === 'datagrams');
    await held.release();
    await daemon.logged(PROCESS_EVENTS.portOpened, (line) => line.listener === 'datagrams');
  },
);

test('a daemon whose metrics port stays taken serves callers', TIMEOUT, async () => {
  const held = await holdStreamPort();
  const daemon = program.start(program.writeSettings(settingsText({ metrics: held.port })));
  await daemon.logged(GATEWAY_EVENTS.started);
  await held.release();
});

test('a stop while a port is waited for ends the process with 0', TIMEOUT, async () => {
  const held = await holdStreamPort();
  const daemon = program.start(program.writeSettings(settingsText({ callers: held.port })));
  await daemon.logged(PROCESS_EVENTS.portAwaited);
  daemon.signal('SIGTERM');
  assert.deepEqual(await daemon.ended, STOPPED);
  await held.release();
});

for (const [state, text, named] of [
  ['missing', undefined, WHOLE_FILE],
  ['empty', '', WHOLE_FILE],
  ['cut short', settingsText().slice(0, 120), WHOLE_FILE],
  ['not yet right', settingsText().replace('zone: a', 'zone: []'), 'zone'],
  ['without a possible port', settingsText({ callers: 70_000 }), 'listen.callers'],
] as const) {
  test(`settings that are ${state} at the start are waited for`, TIMEOUT, async () => {
    const path = text === undefined ? program.missingSettings() : program.writeSettings(text);
    const daemon = program.start(path);
    const { setting, remedy } = await daemon.logged(PROCESS_EVENTS.settingsAwaited);
    assert.equal(setting, named);
    assert.equal(typeof remedy, 'string');
    writeFileSync(path, settingsText());
    await daemon.logged(GATEWAY_EVENTS.started);
    rmSync(path);
  });
}

test('a stop while settings are waited for ends the process with 0', TIMEOUT, async () => {
  const daemon = program.start(program.writeSettings(''));
  await daemon.logged(PROCESS_EVENTS.settingsAwaited);
  daemon.signal('SIGTERM');
  assert.deepEqual(await daemon.ended, STOPPED);
});

test('a stop ends the process though the reader of its log is gone', TIMEOUT, async () => {
  const daemon = program.start(program.writeSettings(''));
  await daemon.logged(PROCESS_EVENTS.settingsAwaited);
  daemon.closeLog();
  daemon.signal('SIGTERM');
  assert.deepEqual(await daemon.ended, STOPPED);
});

test('a stop ends the process though its log has no room', TIMEOUT, async () => {
  const daemon = program.start(program.missingSettings(), openSync('/dev/full', 'w'));
  await daemon.told;
  daemon.signal('SIGTERM');
  assert.deepEqual(await daemon.ended, STOPPED);
});

test('settings that are gone at a reload are named with a remedy', TIMEOUT, async () => {
  const path = program.writeSettings();
  const daemon = program.start(path);
  await daemon.logged(GATEWAY_EVENTS.started);
  rmSync(path);
  daemon.signal('SIGHUP');
  const { setting, remedy } = await daemon.logged(GATEWAY_EVENTS.settingsRejected);
  assert.equal(setting, WHOLE_FILE);
  assert.equal(typeof remedy, 'string');
});
