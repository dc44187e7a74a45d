/**
 * The metrics of one daemon in Prometheus' text format. No label names a tenant, a request, an engine
 * or a daemon: the number of time series does not grow with the traffic or the fleet.
 */
import { Counter, collectDefaultMetrics, Registry } from 'prom-client';
import type { RequestId } from '../../core/common/identifiers.js';
import type { MonotonicMs } from '../../core/common/time.js';
import type { Fault } from '../../core/errors/fault.js';
import type { Order, OrderAnswer } from '../../core/orders/index.js';
import type { TableCall, TableResult } from '../../core/platform/table.js';
import type { AttemptEvent, RequestNotice } from '../../core/requests/index.js';
import { FleetGauges, type FleetSample } from './fleet-gauges.js';
import { RequestMetrics } from './request-metrics.js';

/** What a metrics registry is built from. */
export interface MetricsOptions {
  /** Read at each collection; null before the daemon has a state. */
  sample(): FleetSample | null;
}

/** Records what happens and prints it. */
export interface Metrics {
  /** What the HTTP shell reports of an attempt. */
  recordAttemptEvent(request: RequestId, event: AttemptEvent, now: MonotonicMs): void;
  /** What the request table tells. */
  recordRequestNotice(notice: RequestNotice, now: MonotonicMs): void;
  /** A fault that a caller was answered with. */
  recordFault(fault: Fault): void;
  /** A call on the platform's table service. */
  recordTableCall(call: TableCall, result: TableResult): void;
  /** An order that was sent to an engine. Role changes are those with `action="set-role"`. */
  recordOrder(order: Order, answer: OrderAnswer): void;
  /** All metrics as text. */
  text(): Promise<string>;
}

/** Creates the registry of one daemon. */
export function createMetrics(options: MetricsOptions): Metrics {
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
  const requests = new RequestMetrics(registry);
  const gauges = new FleetGauges(registry);
  const tableCalls = new Counter({
    name: 'threadfork_table_calls_total',
    help: "Calls on the platform's table service, by kind and result",
    labelNames: ['call', 'result'],
    registers: [registry],
  });
  const orders = new Counter({
    name: 'threadfork_orders_total',
    help: 'Orders sent to engines, repeats included, by action and answer',
    labelNames: ['action', 'answer'],
    registers: [registry],
  });
  return {
    recordAttemptEvent: (request, event, now) => requests.recordAttemptEvent(request, event, now),
    recordRequestNotice: (notice, now) => requests.recordNotice(notice, now),
    recordFault: (fault) => requests.recordFault(fault),
    recordTableCall: (call, result) => tableCalls.inc({ call: call.kind, result: result.kind }),
    recordOrder: (order, answer) =>
      orders.inc({ action: order.action.kind, answer: answerLabel(answer) }),
    text: () => {
      const sample = options.sample();
      if (sample !== null) gauges.update(sample);
      return registry.metrics();
    },
  };
}

function answerLabel(answer: OrderAnswer): string {
  return answer.kind === 'refused' ? answer.reason : answer.kind;
}
