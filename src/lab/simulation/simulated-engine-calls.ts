/**
 * A simulated daemon's calls to engines over the simulated network: report requests, orders and order
 * state queries. An engine that is down or cut off, or whose answer is lost, counts as silent.
 */
import type { DaemonName } from '../../core/common/identifiers.js';
import type { DaemonEffect, DaemonEvent } from '../../core/daemon/index.js';
import type { OrderAnswer } from '../../core/orders/index.js';
import type { SimulatedEngine } from './simulated-engine.js';
import type { SimulatedNetwork } from './simulated-network.js';

type SendOrder = Extract<DaemonEffect, { kind: 'send-order' }>;
type AskOrder = Extract<DaemonEffect, { kind: 'query-order' }>;

/** What engine calls depend on. */
export interface SimulatedEngineCallsOptions {
  readonly daemon: DaemonName;
  readonly network: SimulatedNetwork;
  engine(name: string): SimulatedEngine | undefined;
  /** The daemon's own clock. */
  localNow(): number;
  /** Passes the result of a call to the daemon incarnation that made it. */
  emit(event: DaemonEvent): void;
}

/** The calls to engines of one daemon incarnation. */
export class SimulatedEngineCalls {
  readonly #options: SimulatedEngineCallsOptions;

  constructor(options: SimulatedEngineCallsOptions) {
    this.#options = options;
  }

  /** Requests an engine's report. */
  requestReport(name: string): void {
    const { localNow, emit } = this.#options;
    const engine = this.#options.engine(name);
    const askedAt = localNow();
    this.#call(
      name,
      () => engine?.report() ?? null,
      (report) =>
        emit(
          report === null
            ? { kind: 'engine-silent', engine: name }
            : { kind: 'engine-report', engine: name, askedAt, report },
        ),
    );
  }

  /** @param maySend whether the daemon still holds the lease under which the order is given */
  sendOrder({ order }: SendOrder, maySend: boolean): void {
    const { engine: name, id, fence } = order;
    const answered = (answer: OrderAnswer): void =>
      this.#options.emit({ kind: 'order-answer', engine: name, orderId: id, fence, answer });
    if (!maySend) {
      answered({ kind: 'lost', reason: 'the lease ended before the order was sent' });
      return;
    }
    const engine = this.#options.engine(name);
    this.#call(
      name,
      () => engine?.order(order) ?? null,
      (answer) => answered(answer ?? { kind: 'lost', reason: 'no answer' }),
    );
  }

  /** Queries the state of an order. */
  queryOrder({ engine: name, orderId }: AskOrder): void {
    const engine = this.#options.engine(name);
    this.#call(
      name,
      () => engine?.orderState(orderId) ?? null,
      (state) =>
        this.#options.emit({ kind: 'order-state', engine: name, orderId, state: state ?? 'lost' }),
    );
  }

  #call<Answer>(
    name: string,
    serve: () => Answer | null,
    done: (answer: Answer | null) => void,
  ): void {
    const { daemon, network } = this.#options;
    network.call<Answer>(
      daemon,
      name,
      (answer) => {
        const value = serve();
        if (value === null) {
          return false;
        }
        answer(value);
        return true;
      },
      (result) => done(result.kind === 'answered' ? result.answer : null),
    );
  }
}
