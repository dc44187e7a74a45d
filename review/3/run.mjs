/**
 * Gateways are stopped and started again in turn while they relay long streams. Some model servers answer without a length
 * and end their answers with the connection. With HOW=SIGKILL the gateways are killed instead.
 */
import { sleep } from '../stand-ins/platform.mjs';
import { chat, runCase, summaryOf } from '../stand-ins/scenario.mjs';

const DAY_MS = 50_000;
const STOP_AT_MS = [8_000, 18_000];
const LAST_SEND_MS = 30_000;
const EVENTS = 90;
const EVENT_MS = 140;
const DEADLINE_MS = 15_000;
const MAX_SHOWN = 20;

const options = {
  gateways: 6,
  prefill: 2,
  decode: 6,
  web: 3,
  generate: { resumable: false, attempts: 1, timeoutMs: 15_000, targetLatencyMs: 250 },
  prepare: (engine, index) => {
    engine.events = EVENTS;
    engine.eventMs = EVENT_MS;
    engine.isUnframed = engine.stage === 'decode' && index % 3 === 0;
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
  const traffic = day.traffic(startMs + LAST_SEND_MS, 10, () => chat(DEADLINE_MS));
  for (const [turn, atMs] of STOP_AT_MS.entries()) {
    await sleep(startMs + atMs - performance.now());
    const gateway = day.gateways[turn];
    if (isTroubled) gateway.signal(how);
    day.record('signal', { gateway: gateway.name, how: isTroubled ? how : 'none' });
  }
  await traffic;
  await Promise.all(day.pending);
  await sleep(startMs + DAY_MS - performance.now());
  return judge(day);
});
