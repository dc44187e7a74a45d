/** The client of the engines' control interface (docs/ENGINE-API.md). */
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import type { AttemptId, OrderId } from '../../core/common/identifiers.js';
import type { Milliseconds } from '../../core/common/time.js';
import type { OrderQueryResult } from '../../core/controller/index.js';
import { type Fault, refusedNotRun } from '../../core/errors/fault.js';
import type { Order, OrderAnswer } from '../../core/orders/index.js';
import type { Endpoint, EngineReport } from '../../core/registry/backend.js';
import type { Exchange, ExchangeRequest } from '../platform/http-connection-pool.js';
import { parseJson } from '../platform/json.js';
import {
  type CacheEventPage,
  cacheEventPageSchema,
  cancelAnswerSchema,
  engineReportSchema,
  notRunSchema,
  orderAnswerSchema,
  orderStateSchema,
} from './answers.js';
import { EngineConnections } from './connections.js';

/** Options of `createEngineControlClient`. */
export interface EngineControlOptions {
  /** For one whole exchange, connecting included. */
  readonly timeoutMs: Milliseconds;
}

/** Engines as the shell calls them. No call rejects; `timeoutMs` bounds each. */
export interface EngineControlClient {
  /** Asks an engine for its report. */
  report(endpoint: Endpoint): Promise<Result<EngineReport, Fault>>;
  /** Gives an order. `lost`: no answer came; ask for the order's state before anything else. */
  order(endpoint: Endpoint, order: Order): Promise<OrderAnswer>;
  /** Asks what became of an order; `lost` where the question or its answer was lost. */
  orderState(endpoint: Endpoint, id: OrderId): Promise<OrderQueryResult>;
  /** Ends an attempt; false when the engine did not know it as active. */
  cancel(endpoint: Endpoint, attempt: AttemptId): Promise<Result<boolean, Fault>>;
  /** Reads the published cache events after number `after`. */
  cacheEvents(endpoint: Endpoint, after: number): Promise<Result<CacheEventPage, Fault>>;
  /** Breaks off what is in flight and closes the connections. */
  close(): Promise<void>;
}

/** Opens a client. Nothing is connected before the first call. */
export function createEngineControlClient(options: EngineControlOptions): EngineControlClient {
  const connections = new EngineConnections(options.timeoutMs);
  return {
    async report(endpoint) {
      const exchange = await connections.exchange(endpoint, get('/control/report'));
      return readAnswer(exchange, engineReportSchema);
    },
    async order(endpoint, order) {
      const request = post('/control/orders', order);
      return orderAnswer(order, await connections.exchange(endpoint, request));
    },
    async orderState(endpoint, id) {
      const path = `/control/orders/${encodeURIComponent(id)}`;
      const answer = readAnswer(await connections.exchange(endpoint, get(path)), orderStateSchema);
      return answer.isOk() ? answer.value.state : 'lost';
    },
    async cancel(endpoint, attempt) {
      const request = post('/control/cancel', { attempt });
      const answer = readAnswer(await connections.exchange(endpoint, request), cancelAnswerSchema);
      return answer.map(({ cancelled }) => cancelled);
    },
    async cacheEvents(endpoint, after) {
      const path = `/control/cache-events?after=${after}`;
      return readAnswer(await connections.exchange(endpoint, get(path)), cacheEventPageSchema);
    },
    close: () => connections.close(),
  };
}

function get(path: string): ExchangeRequest {
  return { method: 'GET', path };
}

function post(path: string, body: unknown): ExchangeRequest {
  return { method: 'POST', path, body: JSON.stringify(body) };
}

/**
 * An order that was not sent is `lost` as well: the remedy is the same, and an order of the same id
 * may have been sent before.
 */
function orderAnswer(order: Order, exchange: Exchange): OrderAnswer {
  if (exchange.kind !== 'answered') return { kind: 'lost', reason: describe(exchange) };
  const body = parseJson(exchange.body);
  const answer = orderAnswerSchema.safeParse(body);
  if (exchange.status === 200 && answer.success) return answer.data;
  if (exchange.status === 400 && notRunSchema.safeParse(body).success) {
    return { kind: 'refused', reason: 'invalid', fence: null, boot: order.boot };
  }
  return { kind: 'lost', reason: `the answer ${exchange.status} was not understood` };
}

function readAnswer<T>(exchange: Exchange, schema: z.ZodType<T>): Result<T, Fault> {
  if (exchange.kind !== 'answered') return err(unanswered(describe(exchange)));
  if (exchange.status !== 200) return err(unanswered(`it answered ${exchange.status}`));
  const parsed = schema.safeParse(parseJson(exchange.body));
  if (parsed.success) return ok(parsed.data);
  const issue = parsed.error.issues[0];
  return err(unanswered(`${issue?.path.join('.')}: ${issue?.message} in its answer`));
}

function describe(exchange: Exclude<Exchange, { kind: 'answered' }>): string {
  return exchange.kind === 'not-sent' ? `not sent: ${exchange.reason}` : exchange.reason;
}

/** These calls ask or cancel only, so that a repeat does no harm. */
function unanswered(reason: string): Fault {
  const message = `The engine gave no usable answer: ${reason}. Look at the engine; asking again is safe.`;
  return refusedNotRun('backend-broken', message, { retryable: true });
}
