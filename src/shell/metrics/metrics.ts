/**
 * The metrics of one daemon in the Prometheus text format. No label identifies a tenant, a request, an
 * engine or a daemon, so that the number of time series does not grow with the traffic or the fleet.
 */
import { Counter, collectDefaultMetrics, Registry } from 'prom-client';
import type { RequestId } from '../../core/common/identifiers.js';
import type { MonotonicMs } from '../../core/common/time.js';
import type { Fault } from '../../core/errors/fault.js';
import type { Order, OrderAnswer } from '../../core/orders/index.js';
import type { TableCall, TableResult } from '../../core/platform/table.js';
import type { AttemptEvent, RequestNotice } from '../../core/requests/index.js';
import type { CallerRefusal } from '../http/index.js';
import { FleetGauges, type FleetSample } from './fleet-gauges.js';
import { RequestMetrics } from './request-metrics.js';

/** Options of `createMetrics`. */
export interface MetricsOptions {
  /** Called at each collection; returns null before the daemon has a state. */
  sample(): FleetSample | null;
}

/** Records events of a daemon and exports them as metrics. */
export interface Metrics {
  /** Records an event of an attempt, as reported by the HTTP server. */
  recordAttemptEvent(request: RequestId, event: AttemptEvent, now: MonotonicMs): void;
  /** Records a notice of the request table. */
  recordRequestNotice(notice: RequestNotice, now: MonotonicMs): void;
  /** Records a fault that was answered to a caller. */
  recordFault(fault: Fault): void;
  /** Records a call to the platform's table service. */
  recordTableCall(call: TableCall, result: TableResult): void;
  /** Records an order to an engine. Role changes have the label `action="set-role"`. */
  recordOrder(order: Order, answer: OrderAnswer): void;
  /** Records a caller that was refused or closed at a limit of memory or time. */
  recordCallerRefusal(reason: CallerRefusal): void;
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
  const refusals = new Counter({
    name: 'threadfork_caller_refusals_total',
    help: 'Requests refused, and connections of callers closed, at a limit of memory or time, by reason',
    labelNames: ['reason'],
    registers: [registry],
  });
  return {
    recordAttemptEvent: (request, event, now) => requests.recordAttemptEvent(request, event, now),
    recordRequestNotice: (notice, now) => requests.recordNotice(notice, now),
    recordFault: (fault) => requests.recordFault(fault),
    recordTableCall: (call, result) => tableCalls.inc({ call: call.kind, result: result.kind }),
    recordOrder: (order, answer) =>
      orders.inc({ action: order.action.kind, answer: answerLabel(answer) }),
    recordCallerRefusal: (reason) => refusals.inc({ reason }),
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
