/**
 * Gateways are stopped and started again in turn while they relay long streams. In the five seconds before, half of the
 * model servers answer some requests without a length (`garble`, unframed). With HOW=SIGKILL the gateways are killed.
 */
import { sleep } from '../stand-ins/platform.mjs';
import { chat, runCase, summaryOf } from '../stand-ins/scenario.mjs';

const DAY_MS = 48_000;
const STOP_AT_MS = [8_000, 18_000, 28_000];
const LAST_SEND_MS = 30_000;
const PER_SECOND = 45;
const GARBLE_MS = 5_000;
const GARBLE_SHARE = 0.5;
const GARBLE_X = 0.05;
const SLOTS = 48;
const EVENTS = 90;
const EVENT_MS = 140;
const DEADLINE_MS = 15_000;
const MAX_SHOWN = 20;

const options = {
  gateways: 3,
  prefill: 2,
  decode: 14,
  web: 3,
  generate: { resumable: false, attempts: 1, timeoutMs: 15_000, targetLatencyMs: 250 },
  prepare: (engine) => {
    engine.slots = SLOTS;
    engine.events = EVENTS;
    engine.eventMs = EVENT_MS;
  },
};

const piecesOf = ({ body }) => [...body.matchAll(/^data: piece (\d+) /gm)].length;

function judge(day) {
  const whole = day.outcomes.filter(
    ({ outcome, status }) => outcome === 'answered' && status === 200,
  );
  const early = whole.filter((answer) => piecesOf(answer) < EVENTS);
  const shown = early
    .slice(0, MAX_SHOWN)
    .map(
      (answer) =>
        `  ${answer.id} at ${answer.gateway}: ends as complete after piece ${piecesOf(answer)} of ${EVENTS}`,
    );
  const text = [
    `requests sent: ${day.sent}; ${summaryOf(day.outcomes)}`,
    `streams that ended without an error: ${whole.length}, of these without their last piece: ${early.length}`,
    ...shown,
  ];
  return { isBroken: early.length > 0, text };
}

const folder = new URL('.', import.meta.url).pathname;
const how = process.env.HOW ?? 'SIGTERM';
await runCase(folder, options, async (day, isTroubled) => {
  const startMs = performance.now();
  const traffic = day.traffic(startMs + LAST_SEND_MS, PER_SECOND, () => chat(DEADLINE_MS));
  const struck = day.engines
    .filter(({ stage }) => stage === 'decode')
    .slice(0, day.engines.length * GARBLE_SHARE);
  for (const [turn, atMs] of STOP_AT_MS.entries()) {
    await sleep(startMs + atMs - GARBLE_MS - performance.now());
    if (isTroubled) for (const engine of struck) engine.unframedShare = GARBLE_X;
    await sleep(startMs + atMs - performance.now());
    for (const engine of struck) engine.unframedShare = 0;
    const gateway = day.gateways[turn];
    if (isTroubled) gateway.signal(how);
    day.record('signal', { gateway: gateway.name, how: isTroubled ? how : 'none' });
  }
  await traffic;
  await Promise.all(day.pending);
  await sleep(startMs + DAY_MS - performance.now());
  return judge(day);
});
