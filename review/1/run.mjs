/** Prefill servers hand out wrong bytes (`garble`): in some answers, one byte of the KV handle is wrong. */

import { sleep } from '../stand-ins/platform.mjs';
import { generate, judgeEnds, renew, runCase } from '../stand-ins/scenario.mjs';

const DAY_MS = 60_000;
const GARBLE_EVERY_MS = 10_000;
const GARBLE_MS = 5_000;
const GARBLE_SHARE = 0.5;
const GARBLE_X = 0.02;
const HANDLE_START = '"kvHandle":"';
const TOP_BIT = 0x80;

function spoil(server, { id, response, body }) {
  if (Math.random() >= GARBLE_X) return false;
  const spoiled = Buffer.from(body);
  const at = body.indexOf(HANDLE_START) + HANDLE_START.length + Math.floor(Math.random() * 12);
  spoiled[at] ^= TOP_BIT;
  server.record('spoiled', { id, server: server.id, at, text: spoiled.toString('latin1') });
  response
    .writeHead(200, {
      'Content-Type': 'application/json',
      'X-Attempt-Id': id,
      'Content-Length': String(body.length),
    })
    .end(spoiled);
  return true;
}

const folder = new URL('.', import.meta.url).pathname;
await runCase(folder, { gateways: 2, prefill: 4, decode: 6, web: 3 }, async (day, isTroubled) => {
  const endMs = performance.now() + DAY_MS;
  const traffic = [day.traffic(endMs, 120, generate), day.traffic(endMs, 20, renew)];
  const prefill = day.engines.filter(({ stage }) => stage === 'prefill');
  for (let turn = 0; performance.now() + GARBLE_EVERY_MS < endMs; turn += 1) {
    await sleep(GARBLE_EVERY_MS - GARBLE_MS);
    if (!isTroubled) continue;
    const count = prefill.length * GARBLE_SHARE;
    const struck = prefill.map((_, n) => prefill[(n + turn) % prefill.length]).slice(0, count);
    day.record('garble begins', { servers: struck.map(({ id }) => id) });
    for (const server of struck) server.spoil = spoil;
    await sleep(GARBLE_MS);
    for (const server of struck) server.spoil = undefined;
    day.record('garble ends', {});
  }
  await Promise.all(traffic);
  await Promise.all(day.pending);
  return judgeEnds(day);
});
