/** The control interface of an emulated engine: reports, orders, cancel, cache events, KV import. */
import type { ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { request as fetchFrom } from 'undici';
import type { HeldKv } from '../kv-handles.js';
import { refusal } from '../refusals.js';
import { sendInvalid, sendJson, sendRefusal } from './answers.js';
import { cancelSchema, check, importSchema, orderSchema } from './bodies.js';
import type { EngineHost } from './engine-host.js';
import { faultsSchema } from './faults.js';

const NOT_FOUND = 404;

/** `POST /control/orders`. */
export function handleOrder(host: EngineHost, body: unknown, response: ServerResponse): void {
  check(orderSchema, body).match(
    (order) => sendJson(response, 200, host.order(order)),
    (message) => sendInvalid(response, message),
  );
}

/** `GET /control/orders/<id>`. */
export function handleOrderState(host: EngineHost, id: string, response: ServerResponse): void {
  sendJson(response, 200, { state: host.model.orderState(host.advance(), id) });
}

/** `GET /control/report`. */
export function handleReport(host: EngineHost, response: ServerResponse): void {
  sendJson(response, 200, host.model.report(host.advance()));
}

/** `GET /control/cache-events`. */
export function handleCacheEvents(host: EngineHost, after: string, response: ServerResponse): void {
  sendJson(response, 200, host.model.cacheEvents(host.advance(), Number(after) || 0));
}

/** `POST /faults`: arms faults, for tests; not part of docs/ENGINE-API.md. */
export function handleFaults(host: EngineHost, body: unknown, response: ServerResponse): void {
  check(faultsSchema, body).match(
    ({ faults, replace = false }) => {
      if (replace) host.faults.clear();
      host.faults.arm(faults);
      sendJson(response, 200, { armed: faults.length });
    },
    (message) => sendInvalid(response, message),
  );
}

/** `POST /control/cancel`. The connection of a cancelled request is closed. */
export function handleCancel(host: EngineHost, body: unknown, response: ServerResponse): void {
  check(cancelSchema, body).match(
    ({ attempt }) => sendJson(response, 200, { cancelled: host.cancelAndClose(attempt) }),
    (message) => sendInvalid(response, message),
  );
}

/** `GET /control/kv/export/<handle>`: called by the importing engine. */
export function handleKvExport(host: EngineHost, handle: string, response: ServerResponse): void {
  const held = host.model.exportKv(host.advance(), handle);
  if (held === null) sendJson(response, NOT_FOUND, { error: { code: 'kv-gone' } });
  else sendJson(response, 200, held);
}

/** `POST /control/kv/import`: fetches a KV cache, waits its transfer time, and stores it. */
export async function handleKvImport(
  host: EngineHost,
  body: unknown,
  response: ServerResponse,
): Promise<void> {
  const checked = check(importSchema, body);
  if (checked.isErr()) return sendInvalid(response, checked.error);
  const { source, kvHandle } = checked.value;
  const held = await fetchKv(source.address, source.port, kvHandle);
  if (held === null) return refuse(response, 'kv-gone', 'the source holds no such handle');
  const { model } = host;
  await delay(model.kvTransferMs(held));
  const imported = model === host.model ? model.importKv(host.advance(), held) : null;
  if (imported === null) return refuse(response, 'engine-full', 'no room for the KV; try later');
  sendJson(response, 200, { kvHandle: imported });
}

async function fetchKv(address: string, port: number, handle: string): Promise<HeldKv | null> {
  const path = `/control/kv/export/${encodeURIComponent(handle)}`;
  try {
    const answer = await fetchFrom(`http://${address}:${port}${path}`);
    const held = await answer.body.json();
    return answer.statusCode === 200 ? (held as HeldKv) : null;
  } catch {
    return null;
  }
}

function refuse(response: ServerResponse, code: 'kv-gone' | 'engine-full', message: string): void {
  sendRefusal(response, refusal(code, message));
}
