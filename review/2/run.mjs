/**
 * Servers hand out wrong bytes (`garble`), by turns prefill servers and web servers: in some answers, one byte of the KV
 * handle is wrong, or the status is not one.
 */

import { sleep } from '../stand-ins/platform.mjs';
import { generate, judgeEnds, renew, runCase, slip } from '../stand-ins/scenario.mjs';

const DAY_MS = 70_000;
const GARBLE_EVERY_MS = 10_000;
const GARBLE_MS = 5_000;
const GARBLE_SHARE = 0.5;
const GARBLE_X = 0.02;
const HANDLE_START = '"kvHandle":"';
const TOP_BIT = 0x80;

/** Answers a prefill with a handle in which one byte is wrong; all else is as it should be. */
function spoilHandle(server, { id, response, body }) {
  if (Math.random() >= GARBLE_X) return false;
  const spoiled = Buffer.from(body);
  const at = body.indexOf(HANDLE_START) + HANDLE_START.length + Math.floor(Math.random() * 12);
  spoiled[at] ^= TOP_BIT;
  server.record('spoiled', { id, server: server.id, at, text: spoiled.toString('latin1') });
  response
    .writeHead(200, {
      'Content-Type': 'application/json',
      'X-Attempt-Id': id,
      'X-Weight-Versions': '1',
      'Content-Length': String(body.length),
    })
    .end(spoiled);
  return true;
}

/** Writes an answer whose status line holds the wrong status; all else is as it should be. */
function spoilStatus(server, { id, response, body }) {
  if (Math.random() >= GARBLE_X) return false;
  server.record('spoiled', { id, server: server.id, status: '000' });
  const headers = Object.entries(server.head(id)).map(([name, value]) => `${name}: ${value}\r\n`);
  const head = `HTTP/1.1 000 OK\r\n${headers.join('')}Content-Length: ${body.length}\r\n\r\n`;
  response.socket.end(Buffer.concat([Buffer.from(head), body]));
  return true;
}

const folder = new URL('.', import.meta.url).pathname;
await runCase(folder, { gateways: 2, prefill: 4, decode: 6, web: 6 }, async (day, isTroubled) => {
  const endMs = performance.now() + DAY_MS;
  const traffic = [
    day.traffic(endMs, 120, generate),
    day.traffic(endMs, 60, renew),
    day.traffic(endMs, 60, slip),
  ];
  const prefill = day.engines.filter(({ stage }) => stage === 'prefill');
  for (let turn = 0; performance.now() + GARBLE_EVERY_MS < endMs; turn += 1) {
    await sleep(GARBLE_EVERY_MS - GARBLE_MS);
    if (!isTroubled) continue;
    const [servers, spoil] =
      turn % 2 === 0 ? [prefill, spoilHandle] : [day.webServers, spoilStatus];
    const struck = servers.slice(0, servers.length * GARBLE_SHARE);
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
