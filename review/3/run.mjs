/**
 * Gateways are stopped and started again in turn. Each client keeps its connection: it reads a long stream, then sends a
 * request that may not be repeated, and so on.
 */
import http from 'node:http';
import { send } from '../stand-ins/client.mjs';
import { sleep } from '../stand-ins/platform.mjs';
import { chat, renew, runCase, summaryOf } from '../stand-ins/scenario.mjs';

const DAY_MS = 95_000;
const STOP_EVERY_MS = 14_000;
const CLIENTS = 480;
const EVENTS = 58;
const EVENT_MS = 140;
const STREAM_DEADLINE_MS = 15_000;
const WORK_MS = 86;
const PAUSE_MS = 5;
/** Requests sent sooner after the SIGTERM may be cut, if their server is still at work near the end of the grace period. */
const EXCUSED_MS = 3_000;
const MAX_SHOWN = 20;

const options = {
  gateways: 3,
  prefill: 2,
  decode: 14,
  web: 6,
  generate: { resumable: false, attempts: 1, timeoutMs: 15_000, targetLatencyMs: 250 },
  prepare: (engine) => {
    engine.events = EVENTS;
    engine.eventMs = EVENT_MS;
  },
};

/** One client: a connection of its own, kept until its gateway closes it. */
async function client(day, untilMs) {
  await sleep(Math.random() * EVENTS * EVENT_MS);
  while (performance.now() < untilMs) {
    const ready = day.gateways.filter(({ isIn }) => isIn);
    const gateway = ready[Math.floor(Math.random() * ready.length)];
    if (gateway === undefined) {
      await sleep(200);
      continue;
    }
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    let isOpen = true;
    for (let turn = 0; isOpen && performance.now() < untilMs; turn += 1) {
      const request = turn % 2 === 0 ? chat(STREAM_DEADLINE_MS) : renew();
      const answer = await send(gateway, { ...request, agent });
      const { id, outcome, status, error, startedMs, endedMs } = answer;
      const tookMs = Math.round(endedMs - startedMs);
      day.record(outcome, { id, gateway: gateway.name, path: request.path, status, error, tookMs });
      day.sent += 1;
      day.outcomes.push({ ...answer, path: request.path });
      isOpen = outcome === 'answered' && status === 200 && !answer.isLast;
      await sleep(PAUSE_MS);
    }
    agent.destroy();
  }
}

function judge(day, stops, ran) {
  const lost = day.outcomes.flatMap((answer) => {
    if (answer.outcome !== 'cut' || !answer.path.startsWith('/renew/')) return [];
    const stop = stops.findLast(
      ({ name, atMs }) => name === answer.gateway && atMs <= answer.startedMs,
    );
    const sentAfterMs = stop === undefined ? 0 : answer.startedMs - stop.atMs;
    return ran.has(answer.id) && sentAfterMs > EXCUSED_MS ? [{ ...answer, sentAfterMs }] : [];
  });
  const shown = lost
    .slice(0, MAX_SHOWN)
    .map(
      ({ id, gateway, sentAfterMs, startedMs, endedMs }) =>
        `  ${id} at ${gateway}: sent ${Math.round(sentAfterMs)} ms after the SIGTERM, run, cut after ${Math.round(endedMs - startedMs)} ms`,
    );
  const text = [
    `requests sent: ${day.sent}; ${summaryOf(day.outcomes)}`,
    `requests that may not be repeated, ran, and got no answer: ${lost.length}`,
    ...shown,
  ];
  return { isBroken: lost.length > 0, text };
}

const folder = new URL('.', import.meta.url).pathname;
await runCase(folder, options, async (day, isTroubled) => {
  const ran = new Set();
  const { record } = day;
  day.record = (what, fields) => {
    if (what === 'run') ran.add(fields.id);
    record.call(day, what, fields);
  };
  for (const server of day.webServers) server.workMs = WORK_MS;
  for (const server of [...day.engines, ...day.webServers]) {
    server.slots = 48;
    server.record = day.record;
  }
  const startMs = performance.now();
  const untilMs = startMs + DAY_MS - 18_000;
  const clients = Array.from({ length: CLIENTS }, () => client(day, untilMs));
  const stops = [];
  for (let turn = 0; startMs + (turn + 1) * STOP_EVERY_MS < untilMs; turn += 1) {
    await sleep(startMs + (turn + 1) * STOP_EVERY_MS - performance.now());
    if (!isTroubled) continue;
    const gateway = day.gateways[turn % day.gateways.length];
    stops.push({ name: gateway.name, atMs: performance.now() });
    day.record('SIGTERM', { gateway: gateway.name });
    gateway.signal('SIGTERM');
  }
  await Promise.all(clients);
  return judge(day, stops, ran);
});
