/**
 * Model servers crash, and some of those that are left crash soon after. Streams may be resumed; half of the model servers
 * answer without a length and end their answers with the connection.
 */

import { sleep } from '../stand-ins/platform.mjs';
import { chat, runCase, summaryOf } from '../stand-ins/scenario.mjs';

const DAY_MS = 60_000;
const CRASH_EVERY_MS = 12_000;
const SECOND_CRASH_MS = 1_000;
const DOWN_MS = 5_000;
const EVENTS = 40;
const EVENT_MS = 60;
const MAX_SHOWN = 20;

const options = {
  gateways: 6,
  prefill: 2,
  decode: 4,
  web: 3,
  generate: { resumable: true, attempts: 2, timeoutMs: 6_000, targetLatencyMs: 300 },
  prepare: (engine, index) => {
    engine.events = EVENTS;
    engine.eventMs = EVENT_MS;
    engine.isUnframed = index % 2 === 0;
  },
};

async function crash(day, server) {
  server.crash();
  day.record('crash', { server: server.id, isUnframed: server.isUnframed });
  await sleep(DOWN_MS);
  if (!day.isOver) await server.restart();
}

/** The numbers of the pieces that the client got, in their order. */
function piecesOf({ body }) {
  return [...body.matchAll(/^data: piece (\d+) /gm)].map(([, number]) => Number(number));
}

function judge(day) {
  const whole = day.outcomes.filter(
    ({ outcome, status, isFramed }) => outcome === 'answered' && status === 200 && isFramed,
  );
  const early = whole.filter((answer) => piecesOf(answer).length < EVENTS);
  const outOfOrder = whole.filter((answer) =>
    piecesOf(answer).some((number, index) => number !== index + 1),
  );
  const shown = early
    .slice(0, MAX_SHOWN)
    .map((answer) => `  ${answer.id}: ends as complete after piece ${piecesOf(answer).at(-1)}`);
  const text = [
    `requests sent: ${day.sent}; ${summaryOf(day.outcomes)}`,
    `answers in chunks that ended with the last chunk: ${whole.length}, of these without all ${EVENTS} pieces: ${early.length}, with a piece missing or twice: ${outOfOrder.length}`,
    ...shown,
  ];
  return { isBroken: early.length + outOfOrder.length > 0, text };
}

const folder = new URL('.', import.meta.url).pathname;
await runCase(folder, options, async (day, isTroubled) => {
  const endMs = performance.now() + DAY_MS;
  const traffic = day.traffic(endMs, 40, chat);
  const decode = day.engines.filter(({ stage }) => stage === 'decode');
  const framed = decode.filter(({ isUnframed }) => !isUnframed);
  const unframed = decode.filter(({ isUnframed }) => isUnframed);
  const down = [];
  for (let turn = 0; performance.now() + CRASH_EVERY_MS < endMs; turn += 1) {
    await sleep(CRASH_EVERY_MS - DOWN_MS - SECOND_CRASH_MS);
    if (isTroubled) down.push(crash(day, framed[turn % framed.length]));
    await sleep(SECOND_CRASH_MS);
    if (isTroubled) down.push(crash(day, unframed[turn % unframed.length]));
    await sleep(DOWN_MS);
  }
  await Promise.all([traffic, ...down]);
  await Promise.all(day.pending);
  return judge(day);
});
