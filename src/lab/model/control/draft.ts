/**
 * A mutable control world during one step: carries out the effects of the reducers and records
 * violations.
 */
import type { ControllerEvent, ControllerOutput } from '../../../core/controller/index.js';
import { stepController } from '../../../core/controller/index.js';
import {
  authorityOf,
  type LeaseEvent,
  type LeaseOutput,
  type LeaseRow,
  leaseKey,
  stepLease,
} from '../../../core/lease/index.js';
import type { Order } from '../../../core/orders/index.js';
import type { TableCall, TableEffect, TableResult } from '../../../core/platform/table.js';
import type { EngineMachine, EngineReport, EngineView } from '../../../core/registry/backend.js';
import type { Violation } from '../explorer.js';
import { applyCall, rowOf } from '../table.js';
import { CONTROL_PROPERTIES } from './property-names.js';
import {
  type ControlDaemon,
  type ControlWorld,
  clockOf,
  ENGINE,
  type FaultBudget,
  type Message,
  type Protections,
  RESOURCE,
  TICK_MS,
  TICKS,
} from './world.js';

type Mutable<T> = { -readonly [K in keyof T]: T[K] };

/** The fault of the first table call of a step. */
export type TableFault = 'none' | 'late-call' | 'slow-answer';

/** The control world during one step. */
export class Draft {
  readonly world: Mutable<ControlWorld>;
  readonly violations: Violation[] = [];
  #fault: TableFault;
  readonly protections: Protections;

  constructor(world: ControlWorld, protections: Protections, fault: TableFault = 'none') {
    this.world = { ...world };
    this.protections = protections;
    this.#fault = fault;
  }

  /** Whether a table call has been made that the requested fault applied to. */
  get isFaultSpent(): boolean {
    return this.#fault === 'none';
  }

  violate(property: string, detail: string): void {
    this.violations.push({ property, detail });
  }

  spend(kind: keyof FaultBudget): void {
    this.world.budget = { ...this.world.budget, [kind]: this.world.budget[kind] - 1 };
  }

  daemon(index: number): ControlDaemon {
    const daemon = this.world.daemons[index];
    if (daemon === undefined) throw new Error(`no daemon ${index}`);
    return daemon;
  }

  setDaemon(index: number, change: Partial<ControlDaemon>): void {
    this.world.daemons = this.world.daemons.map((daemon, at) => {
      return at === index ? { ...daemon, ...change } : daemon;
    });
  }

  addMessage(message: Message): void {
    this.world.messages = [...this.world.messages, message];
  }

  removeMessage(message: Message): void {
    this.world.messages = this.world.messages.filter((each) => each !== message);
  }

  /** One turn of a daemon's loop: the lease first, then the controller under its authority. */
  turn(index: number): void {
    this.stepLease(index, { kind: 'tick' });
    const daemon = this.daemon(index);
    this.stepController(index, {
      kind: 'tick',
      authority: authorityOf(daemon.lease),
      engines: [this.#controllerView(daemon)],
      desired: [
        { engine: ENGINE, role: this.world.desiredRole, models: null, reason: 'desired role' },
      ],
    });
  }

  stepLease(index: number, event: LeaseEvent): void {
    const daemon = this.daemon(index);
    const context = { now: clockOf(this.world, daemon), entropy: 0 };
    const { state, effects } = stepLease(daemon.lease, event, context);
    this.setDaemon(index, { lease: state });
    this.#carryOut(index, effects);
  }

  stepController(index: number, event: ControllerEvent): void {
    const daemon = this.daemon(index);
    const context = { now: clockOf(this.world, daemon), entropy: 0 };
    const { state, effects } = stepController(daemon.controller, event, context);
    this.setDaemon(index, { controller: state });
    this.#carryOut(index, effects);
  }

  /** Passes a table result to the reducer that made the call. */
  answerTable(index: number, token: string, result: TableResult): void {
    const event = { kind: 'table-result', token, result } as const;
    if (token.startsWith('lease/')) this.stepLease(index, event);
    else this.stepController(index, event);
  }

  /** Applies a call to the table. A mutated table ignores the versions that a write checks. */
  callTable(call: TableCall): TableResult {
    const dropped = call.kind === 'transact' && !this.protections.versionCompare;
    const { table, result } = applyCall(this.world.table, dropped ? { ...call, checks: [] } : call);
    this.world.table = table;
    return result;
  }

  #carryOut(index: number, effects: readonly (LeaseOutput | ControllerOutput)[]): void {
    for (const effect of effects) {
      if (effect.kind === 'table') this.#table(index, effect);
      if (effect.kind === 'send-order') this.#sendOrder(index, effect.order);
      if (effect.kind === 'query-order') {
        const from = { daemon: index, incarnation: this.daemon(index).incarnation };
        this.addMessage({ kind: 'query', from, orderId: effect.orderId, late: false });
      }
    }
  }

  #table(index: number, { token, call }: TableEffect): void {
    const daemon = this.daemon(index);
    const from = { daemon: index, incarnation: daemon.incarnation };
    if (daemon.storeDown) {
      const result = { kind: 'unavailable', reason: 'cut', retryAfterMs: 0 } as const;
      this.answerTable(index, token, result);
      return;
    }
    const fault = this.#fault;
    this.#fault = 'none';
    if (fault === 'late-call') {
      this.addMessage({ kind: 'table-call', from, token, call, late: true });
      this.answerTable(index, token, { kind: 'lost', reason: 'timeout' });
      return;
    }
    const result = this.callTable(call);
    if (fault === 'slow-answer') {
      this.addMessage({ kind: 'table-answer', from, token, result, late: true });
      return;
    }
    this.answerTable(index, token, result);
    return;
  }

  #sendOrder(index: number, order: Order): void {
    const daemon = this.daemon(index);
    const row = rowOf(this.world.table, leaseKey(RESOURCE)).value as LeaseRow | null;
    const isHolder =
      row !== null &&
      row.holder === daemon.name &&
      row.incarnation === daemon.incarnation &&
      row.epoch === order.fence.epoch;
    if (!isHolder) {
      const holder = `${row?.holder}, epoch ${row?.epoch}`;
      const detail = `${daemon.name} sends ${order.id} while the lease is with ${holder}`;
      this.violate(CONTROL_PROPERTIES.deposed, detail);
    }
    const keepsFlag = this.protections.barrier && this.protections.onlyIfIdle;
    const from = { daemon: index, incarnation: daemon.incarnation };
    const onlyIfIdle = order.onlyIfIdle && keepsFlag;
    this.addMessage({ kind: 'order', from, order: { ...order, onlyIfIdle }, late: false });
  }

  /** The controller's view of the engine. Without the barrier the engine always appears idle. */
  #controllerView(daemon: ControlDaemon): EngineView {
    const view = viewOf(daemon, this.protections);
    if (this.protections.barrier || view.report === null) return view;
    return { ...view, report: asIfIdle(view.report) };
  }
}

/** A daemon's view of the engine, from the last report that it requested. */
export function viewOf(
  daemon: { readonly report: EngineReport | null; readonly requestedAt: number },
  protections: Protections,
): EngineView {
  const margin = protections.margins ? TICKS.grantMargin : 0;
  return {
    machine: MACHINE,
    report: daemon.report,
    reportedAt: daemon.requestedAt,
    grantedUntil: daemon.requestedAt + (TICKS.grant - margin) * TICK_MS,
    watcher: null,
  };
}

const MACHINE: EngineMachine = {
  kind: 'engine',
  name: ENGINE,
  zone: 'leiden-a',
  state: 'live',
  address: '127.0.0.1',
  port: 1,
  accelerator: 'new',
};

function asIfIdle(report: EngineReport): EngineReport {
  return { ...report, activeRequests: 0, intake: 'closed', busy: false };
}
