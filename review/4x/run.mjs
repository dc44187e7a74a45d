/** Web servers hand out wrong bytes (`garble`): the status of some answers is not one. */

import { sleep } from '../stand-ins/platform.mjs';
import { judgeEnds, renew, runCase, slip } from '../stand-ins/scenario.mjs';

const DAY_MS = 60_000;
const GARBLE_EVERY_MS = 10_000;
const GARBLE_MS = 5_000;
const GARBLE_X = 0.02;

/** Writes an answer whose status line holds the wrong status; all else is as it should be. */
function spoil(server, { id, response, body }) {
  if (Math.random() >= GARBLE_X) return false;
  server.record('spoiled', { id, server: server.id });
  const headers = Object.entries(server.head(id)).map(([name, value]) => `${name}: ${value}\r\n`);
  const head = `HTTP/1.1 000 OK\r\n${headers.join('')}Content-Length: ${body.length}\r\n\r\n`;
  response.socket.end(Buffer.concat([Buffer.from(head), body]));
  return true;
}

const folder = new URL('.', import.meta.url).pathname;
await runCase(folder, { gateways: 2, prefill: 1, decode: 1, web: 6 }, async (day, isTroubled) => {
  const endMs = performance.now() + DAY_MS;
  const traffic = [day.traffic(endMs, 60, renew), day.traffic(endMs, 60, slip)];
  const servers = day.webServers;
  for (let turn = 0; performance.now() + GARBLE_EVERY_MS < endMs; turn += 1) {
    await sleep(GARBLE_EVERY_MS - GARBLE_MS);
    if (!isTroubled) continue;
    const struck = servers.filter((_, n) => (n + turn) % 2 === 0);
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
