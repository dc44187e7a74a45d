/**
 * What a simulated daemon asks of engines over the simulated network: reports, orders, and what became
 * of an order. An engine that is down, cut off, or whose answer was lost counts as silent.
 */
import type { DaemonName } from '../../core/common/identifiers.js';
import type { DaemonEffect, DaemonEvent } from '../../core/daemon/index.js';
import type { OrderAnswer } from '../../core/orders/index.js';
import type { SimulatedEngine } from './simulated-engine.js';
import type { SimulatedNetwork } from './simulated-network.js';

type SendOrder = Extract<DaemonEffect, { kind: 'send-order' }>;
type AskOrder = Extract<DaemonEffect, { kind: 'query-order' }>;

/** What the calls are made through. */
export interface SimulatedEngineCallsOptions {
  readonly daemon: DaemonName;
  readonly network: SimulatedNetwork;
  engine(name: string): SimulatedEngine | undefined;
  /** The daemon's own clock. */
  localNow(): number;
  /** Takes what came of a call, in the life that made it. */
  emit(event: DaemonEvent): void;
}

/** One life's calls to engines. */
export class SimulatedEngineCalls {
  readonly #options: SimulatedEngineCallsOptions;

  constructor(options: SimulatedEngineCallsOptions) {
    this.#options = options;
  }

  /** Asks an engine for its report. */
  askReport(name: string): void {
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

  /** @param maySend whether the daemon still holds what the order is given under */
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

  /** Asks what became of an order. */
  askOrder({ engine: name, orderId }: AskOrder): void {
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
