/** The lines of a stop were missing from a process's log when it wrote as many lines as it may in that second. */
import { after, afterEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { PROCESS_EVENTS } from '../../src/core/logging/catalogue/process.js';
import { STOP_EVENTS } from '../../src/core/logging/catalogue/stops.js';
import { GatewayProgram, settingsText } from './support/gateway-program.js';

const TIMEOUT = { timeout: 20_000 };
/** The grace period of the settings without the margin of a stop; ages are rounded. */
const CUT_MS = 1_300;

const program = new GatewayProgram();
afterEach(() => program.killAll());
after(() => program.remove());

test('a process that may write one line a second tells of its whole life', TIMEOUT, async () => {
  const text = settingsText().replace(/maxLinesPerSecond: \d+/, 'maxLinesPerSecond: 1');
  const daemon = program.start(program.writeSettings(text));
  await daemon.logged(GATEWAY_EVENTS.started);
  daemon.signal('SIGTERM');
  await daemon.ended;
  await daemon.logged(PROCESS_EVENTS.settingsRead);
  await daemon.logged(PROCESS_EVENTS.signalReceived);
  await daemon.logged(
    GATEWAY_EVENTS.stopping,
    ({ cutsInMs, signalAgeMs }) => Math.abs(Number(cutsInMs) + Number(signalAgeMs) - CUT_MS) <= 1,
  );
  await daemon.logged(STOP_EVENTS.listenerClosed);
  await daemon.logged(GATEWAY_EVENTS.stopped, ({ cut }) => cut === 0);
});
