/** Table calls on the wire: the request of each call and what its answer means. */
import type { TableCall, TableResult } from '../../core/platform/table.js';
import { rowsAnswerSchema, transactAnswerSchema } from './answers.js';
import type { Exchange, ExchangeRequest } from './http-connection-pool.js';
import { parseJson } from './json.js';
import { DEFAULT_RETRY_AFTER_MS, retryAfterMs } from './retry-after.js';

/** How long to wait before a call that the platform will not take as it is. */
const INVALID_CALL_RETRY_AFTER_MS = 30_000;

/** The HTTP request of a call. */
export function tableRequest(call: TableCall): ExchangeRequest {
  const { kind, ...body } = call;
  return { method: 'POST', path: `/table/${kind}`, body: JSON.stringify(body) };
}

/** What an exchange means for a call. Whatever leaves doubt is `lost`. */
export function tableResult(call: TableCall, exchange: Exchange): TableResult {
  switch (exchange.kind) {
    case 'not-sent':
      return unavailable(`not sent: ${exchange.reason}`, DEFAULT_RETRY_AFTER_MS);
    case 'lost':
      return { kind: 'lost', reason: exchange.reason };
    case 'answered':
      return answeredResult(call, exchange);
  }
}

function answeredResult(call: TableCall, exchange: Exchange & { kind: 'answered' }): TableResult {
  const { status } = exchange;
  if (status === 429 || status === 503) {
    const afterMs = retryAfterMs(exchange) ?? DEFAULT_RETRY_AFTER_MS;
    return unavailable(`the table service answered ${status}`, afterMs);
  }
  if (status === 400 || status === 413) {
    const reason = `the table service will not take this call (${status}): it breaks a limit of docs/PLATFORM-API.md`;
    return unavailable(reason, INVALID_CALL_RETRY_AFTER_MS);
  }
  const body = parseJson(exchange.body);
  return call.kind === 'transact' ? transactResult(status, body) : rowsResult(status, body);
}

function rowsResult(status: number, body: unknown): TableResult {
  const parsed = rowsAnswerSchema.safeParse(body);
  if (status !== 200 || !parsed.success) return notUnderstood(status);
  return { kind: 'rows', rows: parsed.data.rows };
}

function transactResult(status: number, body: unknown): TableResult {
  const parsed = transactAnswerSchema.safeParse(body);
  if (!parsed.success) return notUnderstood(status);
  const { committed, rows } = parsed.data;
  if (status === 200 && committed) return { kind: 'committed', rows };
  if (status === 409 && !committed) return { kind: 'conflict', rows };
  return notUnderstood(status);
}

function unavailable(reason: string, afterMs: number): TableResult {
  return { kind: 'unavailable', reason, retryAfterMs: afterMs };
}

function notUnderstood(status: number): TableResult {
  return { kind: 'lost', reason: `the table service's answer (${status}) was not understood` };
}
